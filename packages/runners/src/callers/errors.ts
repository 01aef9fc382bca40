import { HeatherferryError, type ValueOf } from "@heatherferry/common";

export const BODY_ERROR_KIND = {
  /** The bodies of other requests take all the memory that is meant for bodies. */
  NO_ROOM: "noRoom",
} as const;

export type BodyErrorKind = ValueOf<typeof BODY_ERROR_KIND>;

/** The body of a request could not be kept. */
export class BodyError extends HeatherferryError {
  constructor(readonly kind: BodyErrorKind) {
    super("There is no room for the request body", "Send the request again later");
  }
}
