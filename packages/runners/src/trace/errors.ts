import { HeatherferryError, type ValueOf } from "@heatherferry/common";

export const TRACE_ERROR_KIND = {
  UNREADABLE_LINE: "unreadableLine",
  WRONG_FORMAT: "wrongFormat",
} as const;

export type TraceErrorKind = ValueOf<typeof TRACE_ERROR_KIND>;

/** A trace that cannot be replayed. */
export class TraceError extends HeatherferryError {
  constructor(
    readonly kind: TraceErrorKind,
    problem: string,
    remedy: string,
  ) {
    super(problem, remedy);
  }
}
