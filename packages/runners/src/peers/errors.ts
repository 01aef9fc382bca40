import { HeatherferryError, messageOf, type ValueOf } from "@heatherferry/common";

export const PEER_ERROR_KIND = {
  /** No connection could be opened, so nothing of the call was sent. */
  NOT_SENT: "notSent",
  /** The call got no answer but may have reached the peer. */
  UNANSWERED: "unanswered",
} as const;

export type PeerErrorKind = ValueOf<typeof PEER_ERROR_KIND>;

/** A call to another entry host failed. */
export class PeerError extends HeatherferryError {
  constructor(
    readonly kind: PeerErrorKind,
    problem: string,
    options?: ErrorOptions,
  ) {
    super(
      problem,
      "Check that the entry hosts of the zone can reach each other's peer address",
      options,
    );
  }
}

/**
 * Returns the error for a call whose connection could not be opened.
 *
 * @param peerAddress - Address of the peer.
 */
export const notSentError = (peerAddress: string): PeerError =>
  new PeerError(PEER_ERROR_KIND.NOT_SENT, `No connection to entry host ${peerAddress}`);

/**
 * Returns the error for a call that was sent but got no answer.
 *
 * @param peerAddress - Address of the peer.
 * @param cause - Error of the connection.
 */
export const unansweredError = (peerAddress: string, cause: unknown): PeerError =>
  new PeerError(
    PEER_ERROR_KIND.UNANSWERED,
    `Entry host ${peerAddress} did not answer: ${messageOf(cause)}`,
    { cause },
  );
