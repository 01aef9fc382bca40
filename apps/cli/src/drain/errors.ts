import { HeatherferryError, type ValueOf } from "@heatherferry/common";
import { PERMIT_REFUSAL, UNDRAIN_REFUSAL } from "@heatherferry/core";

/** Why a drain is refused, or the end of one. */
export const DRAIN_ERROR_KIND = {
  ...PERMIT_REFUSAL,
  ...UNDRAIN_REFUSAL,
  UNKNOWN_HOST: "unknownHost",
  TAKEN_BY_PLATFORM: "takenByPlatform",
} as const;

export type DrainErrorKind = ValueOf<typeof DRAIN_ERROR_KIND>;

/** A host that may not leave, or not come back, now. */
export class DrainError extends HeatherferryError {
  constructor(
    readonly kind: DrainErrorKind,
    problem: string,
    remedy: string,
  ) {
    super(problem, remedy);
  }
}
