import { HeatherferryError, type ValueOf } from "@heatherferry/common";
import { PERMIT_REFUSAL, UNDRAIN_REFUSAL } from "@heatherferry/core";

/** Reasons for which a drain or an undrain is refused. */
export const DRAIN_ERROR_KIND = {
  ...PERMIT_REFUSAL,
  ...UNDRAIN_REFUSAL,
  UNKNOWN_HOST: "unknownHost",
  TAKEN_BY_PLATFORM: "takenByPlatform",
} as const;

export type DrainErrorKind = ValueOf<typeof DRAIN_ERROR_KIND>;

/** A host cannot be drained or put back in service now. */
export class DrainError extends HeatherferryError {
  constructor(
    readonly kind: DrainErrorKind,
    problem: string,
    remedy: string,
  ) {
    super(problem, remedy);
  }
}
