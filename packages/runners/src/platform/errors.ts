import { HeatherferryError, type ValueOf } from "@heatherferry/common";

export const PLATFORM_ERROR_KIND = {
  UNREACHABLE: "unreachable",
  REFUSED: "refused",
  /** No connection could be opened, so nothing was sent. */
  NOT_SENT: "notSent",
  /** The answer could not be parsed. */
  MALFORMED: "nonsense",
} as const;

export type PlatformErrorKind = ValueOf<typeof PLATFORM_ERROR_KIND>;

/** A call to the platform failed; a write may or may not have taken effect. */
export class PlatformError extends HeatherferryError {
  constructor(
    readonly kind: PlatformErrorKind,
    problem: string,
    remedy: string,
    options?: ErrorOptions,
  ) {
    super(problem, remedy, options);
  }
}
