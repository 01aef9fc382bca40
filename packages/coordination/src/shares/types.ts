/** How far weighted shares look ahead and back. */
export interface ShareTerms {
  /** How long the present use of an account is expected to go on, in ms. */
  readonly lookAheadMs: number;
  /** Most that an account may be ahead of or behind the others, in ms of its fair share. */
  readonly maxLagMs: number;
}

/** An account that waits for more of the resource, against what its weight entitles it to. */
export interface ShareStanding<Account> {
  readonly account: Account;
  readonly weight: number;
  /** Units of the resource in use now. */
  readonly use: number;
  /** Units to which the weight entitles it, of those that all waiting accounts use. */
  readonly fairUse: number;
  /** Service received in contention since the last reset of the counts, in unit milliseconds. */
  readonly servedUnitMs: number;
}
