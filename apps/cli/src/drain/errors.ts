import { HeatherferryError, type ValueOf } from "@heatherferry/common";

export const DRAIN_ERROR_KIND = {
  UNKNOWN_HOST: "unknownHost",
  UNKNOWN_POOL: "unknownPool",
  POOL_BUDGET: "poolBudget",
  RACK_BUDGET: "rackBudget",
  LAST_HOST: "lastHost",
  OTHER_OWNER: "otherOwner",
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
