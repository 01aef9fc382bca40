import type { Incarnation, KeyHash, QueueId } from "@heatherferry/common";
import type { Refusal } from "@heatherferry/core";

/** Header fields by lower-case name. */
export type PeerHeaders = Readonly<Record<string, string | readonly string[]>>;

/** A caller's request that is forwarded to the only entry host that may run it. */
export interface ForwardedRequest {
  /** Incarnation of the receiver that may run the request; no other one may. */
  readonly incarnation: Incarnation;
  readonly queue: QueueId;
  readonly keyHash: KeyHash | null;
  readonly idempotent: boolean;
  readonly idempotencyKey: string | null;
  readonly ticket: string | null;
  readonly timeoutMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: PeerHeaders;
  readonly body: Uint8Array;
}

/** Outcome of a forwarded request. */
export type ForwardedOutcome =
  | {
      readonly type: "answered";
      readonly statusCode: number;
      readonly headers: PeerHeaders;
      readonly body: Uint8Array;
    }
  | { readonly type: "refused"; readonly refusal: Refusal };
