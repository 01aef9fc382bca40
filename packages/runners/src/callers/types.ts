import type { Readable } from "node:stream";
import type { RequestBody } from "./requestBody.js";

/** HTTP header fields, with names in lower case. */
export type HeaderFields = Record<string, string | string[]>;

/** A caller's request as it is sent to a target. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body: RequestBody;
}

/** A target's answer whose body has not been read yet. */
export interface IncomingAnswer {
  readonly statusCode: number;
  readonly headers: HeaderFields;
  readonly body: Readable;
}
