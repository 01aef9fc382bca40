import { HeatherferryError, type ValueOf } from "@heatherferry/common";

export const PLATFORM_ERROR_KIND = {
  UNREACHABLE: "unreachable",
  REFUSED: "refused",
  /** No connection: nothing was sent. */
  NOT_SENT: "notSent",
  NONSENSE: "nonsense",
} as const;

export type PlatformErrorKind = ValueOf<typeof PLATFORM_ERROR_KIND>;

/** The platform did not answer as it should; a write may or may not have taken effect. */
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
