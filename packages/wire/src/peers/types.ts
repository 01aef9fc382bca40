import type { Incarnation, KeyHash, QueueId } from "@heatherferry/common";
import type { Refusal } from "@heatherferry/core";

/** Header fields, names in lower case. */
export type PeerHeaders = Readonly<Record<string, string | readonly string[]>>;

/** A caller's request on its way to the entry host that alone may run it. */
export interface ForwardedRequest {
  /** The life of the receiver that may run it. */
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

/** How a forwarded request ended. */
export type ForwardedOutcome =
  | {
      readonly type: "answered";
      readonly statusCode: number;
      readonly headers: PeerHeaders;
      readonly body: Uint8Array;
    }
  | { readonly type: "refused"; readonly refusal: Refusal };
