import { HeatherferryError, messageOf, type ValueOf } from "@heatherferry/common";

export const PEER_ERROR_KIND = {
  /** No connection: not a byte of the call left this host. */
  NOT_SENT: "notSent",
  /** The call may have arrived. */
  UNANSWERED: "unanswered",
} as const;

export type PeerErrorKind = ValueOf<typeof PEER_ERROR_KIND>;

/** Another entry host could not be called. */
export class PeerError extends HeatherferryError {
  constructor(
    readonly kind: PeerErrorKind,
    problem: string,
    options?: ErrorOptions,
  ) {
    super(problem, "Check that entry hosts of the zone reach each other's peer address", options);
  }
}

/**
 * @param peerAddress - Where no connection could be made.
 * @returns The error.
 */
export const notSent = (peerAddress: string): PeerError =>
  new PeerError(PEER_ERROR_KIND.NOT_SENT, `No connection to entry host ${peerAddress}`);

/**
 * @param peerAddress - Where no answer came from.
 * @param cause - What the connection reported.
 * @returns The error.
 */
export const unanswered = (peerAddress: string, cause: unknown): PeerError =>
  new PeerError(
    PEER_ERROR_KIND.UNANSWERED,
    `Entry host ${peerAddress} did not answer: ${messageOf(cause)}`,
    { cause },
  );
