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

export type Untimed = Event extends infer E ? (E extends Event ? Omit<E, "atMs"> : never) : never;

export interface Node {
  readonly id: EntryHostId;
  readonly state: State;
  alive: boolean;
}

/** How a request ended for its caller. */
export type Ending = "answered" | "replayed" | "brokenOff" | `${"notRun" | "unknown"}:${string}`;

/** Only its issuer can tell that a ticket is genuine. */
export const presentedTo = (
  state: State,
  ticket: PresentedTicket | null,
): PresentedTicket | null => {
  const isIssuer = ticket?.incarnation === state.node.identity.incarnation;
  return ticket === null ? null : { ...ticket, genuine: ticket.genuine && isIssuer };
};

export const issueTicket = ({ state }: Node): PresentedTicket => {
  const event = { type: "tickets/requested", requestId: requestId("t"), count: 1 } as const;
  const effects = reduce(state, { ...event, atMs: state.nowMs });
  const issued = effects.find((effect) => effect.type === "tickets/issue");
  const { entryHostId: issuer, incarnation } = state.node.identity;
  return {
    entryHostId: issuer,
    incarnation,
    sequence: issued?.firstSequence ?? 0,
    expiresAtMs: issued?.expiresAtMs ?? 0,
    genuine: true,
  };
};

export const identityOf = (name: string, life: string): NodeIdentity => ({
  role: "entry",
  entryHostId: entryHostId(name),
  availabilityZone: ZONE,
  incarnation: incarnation(`${name}-${life}`),
  callerAddress: address(`${name}:80`),
  peerAddress: address(`${name}:90`),
});

export const seedsOf = (names: readonly string[]): readonly PeerSeed[] =>
  names.map((name) => ({ entryHostId: entryHostId(name), peerAddress: address(`${name}:90`) }));
