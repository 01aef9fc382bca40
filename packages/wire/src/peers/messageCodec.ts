import { create } from "@bufbuild/protobuf";
import {
  address,
  assertNever,
  entryHostId,
  hostId,
  incarnation,
  poolId,
  revision,
  teamId,
  type EntryHostId,
  type Incarnation,
} from "@heatherferry/common";
import type { PeerDigest, PeerMessage } from "@heatherferry/core";
import {
  DeliverRequestSchema,
  DigestSchema,
  SlotLoanSchema,
  SlotRequestSchema,
  SlotReturnSchema,
  type DeliverRequest,
  type Digest,
  type Sender,
} from "../gen/heatherferry/peers/v1/peers_pb.js";
import { fromInt64, toInt64 } from "./int64.js";

/** Entry host that sends a message, and its incarnation. */
export interface PeerSender {
  readonly entryHostId: EntryHostId;
  readonly incarnation: Incarnation;
}

/** A message between peers with its sender. */
export interface PeerEnvelope {
  readonly sender: PeerSender;
  readonly message: PeerMessage;
}

type WireMessage = DeliverRequest["message"];

const encodeDigest = (digest: PeerDigest): Digest => {
  const message = create(DigestSchema, {
    peerAddress: digest.peerAddress,
    revision: toInt64(digest.revision),
    usage: digest.usage.map((usage) => ({ ...usage })),
    queued: digest.queued.map((queued) => ({ ...queued })),
    dividedAmong: [...digest.dividedAmong],
  });
  if (digest.viewAgeMs !== null) {
    message.viewAgeMs = digest.viewAgeMs;
  }
  return message;
};

const decodeDigest = (digest: Digest): PeerDigest => ({
  type: "digest",
  peerAddress: address(digest.peerAddress),
  revision: revision(fromInt64(digest.revision)),
  viewAgeMs: digest.viewAgeMs ?? null,
  usage: digest.usage.map(({ pool, team, slotMs }) => ({
    pool: poolId(pool),
    team: teamId(team),
    slotMs,
  })),
  queued: digest.queued.map(({ pool, count }) => ({ pool: poolId(pool), count })),
  dividedAmong: digest.dividedAmong.map(entryHostId),
});

const encodeMessage = (message: PeerMessage): WireMessage => {
  switch (message.type) {
    case "digest":
      return { case: "digest", value: encodeDigest(message) };
    case "slotRequest": {
      const { pool, count } = message;
      return { case: "slotRequest", value: create(SlotRequestSchema, { pool, count }) };
    }
    case "slotLoan": {
      const { loanId, hostId: host, count, termMs } = message;
      const value = create(SlotLoanSchema, { loanId, hostId: host, count, termMs });
      return { case: "slotLoan", value };
    }
    case "slotReturn": {
      const { loanId, hostId: host, count } = message;
      const value = create(SlotReturnSchema, { loanId, hostId: host, count });
      return { case: "slotReturn", value };
    }
    default:
      return assertNever(message);
  }
};

const decodeMessage = (message: WireMessage): PeerMessage | null => {
  switch (message.case) {
    case "digest":
      return decodeDigest(message.value);
    case "slotRequest":
      return {
        type: "slotRequest",
        pool: poolId(message.value.pool),
        count: message.value.count,
      };
    case "slotLoan": {
      const { loanId, hostId: host, count, termMs } = message.value;
      return { type: "slotLoan", loanId, hostId: hostId(host), count, termMs };
    }
    case "slotReturn": {
      const { loanId, hostId: host, count } = message.value;
      return { type: "slotReturn", loanId, hostId: hostId(host), count };
    }
    default:
      return null;
  }
};

/**
 * Decodes the sender of a message.
 *
 * @returns The sender; its fields are empty if it is missing.
 */
export const decodeSender = (sender: Sender | undefined): PeerSender => ({
  entryHostId: entryHostId(sender?.entryHostId ?? ""),
  incarnation: incarnation(sender?.incarnation ?? ""),
});

/** Encodes a message with its sender. */
export const encodeEnvelope = ({ sender, message }: PeerEnvelope): DeliverRequest =>
  create(DeliverRequestSchema, { sender: { ...sender }, message: encodeMessage(message) });

/**
 * Decodes a message with its sender.
 *
 * @returns The message, or null if the sender is missing or this build does not know the type.
 */
export const decodeEnvelope = (request: DeliverRequest): PeerEnvelope | null => {
  const message = decodeMessage(request.message);
  if (message === null || request.sender === undefined) {
    return null;
  }
  return { sender: decodeSender(request.sender), message };
};
