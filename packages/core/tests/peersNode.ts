import {
  address,
  entryHostId,
  incarnation,
  requestId,
  type EntryHostId,
} from "@heatherferry/common";
import type { PresentedTicket } from "@heatherferry/coordination";
import { reduce, type Event, type NodeIdentity, type PeerSeed, type State } from "../src/index.js";
import { ZONE } from "./peersRows.js";

/** An event without the time at which it is handled. */
export type UntimedEvent = Event extends infer E
  ? E extends Event
    ? Omit<E, "atMs">
    : never
  : never;

/** A simulated node: its id, the state of its reducer and whether it is running. */
export interface Node {
  readonly id: EntryHostId;
  readonly state: State;
  alive: boolean;
}

/** How a request ended, as seen by its caller. */
export type Ending = "answered" | "replayed" | "brokenOff" | `${"notRun" | "unknown"}:${string}`;

/** Returns a ticket as a node sees it: only the incarnation that issued it can verify it. */
export const verifyTicket = (
  state: State,
  ticket: PresentedTicket | null,
): PresentedTicket | null => {
  const isIssuer = ticket?.incarnation === state.node.identity.incarnation;
  return ticket === null ? null : { ...ticket, genuine: ticket.genuine && isIssuer };
};

/** Has a node issue one ticket. */
export const issueTicket = ({ state }: Node): PresentedTicket => {
  const event = { type: "tickets/requested", requestId: requestId("t"), count: 1 } as const;
  const effects = reduce(state, { ...event, atMs: state.nowMs });
  const issued = effects.find((effect) => effect.type === "tickets/issue");
  const { entryHostId: issuer, incarnation: issuedBy } = state.node.identity;
  return {
    entryHostId: issuer,
    incarnation: issuedBy,
    sequence: issued?.firstSequence ?? 0,
    expiresAtMs: issued?.expiresAtMs ?? 0,
    genuine: true,
  };
};

export const identityOf = (name: string, suffix: string): NodeIdentity => ({
  role: "entry",
  entryHostId: entryHostId(name),
  availabilityZone: ZONE,
  incarnation: incarnation(`${name}-${suffix}`),
  callerAddress: address(`${name}:80`),
  peerAddress: address(`${name}:90`),
});

export const seedsOf = (names: readonly string[]): readonly PeerSeed[] =>
  names.map((name) => ({ entryHostId: entryHostId(name), peerAddress: address(`${name}:90`) }));
