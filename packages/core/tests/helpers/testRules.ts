/** Limits by team. */
export type TeamLimits = Readonly<Record<string, number>>;

/**
 * Creates the text of rules with one open queue for each team, all on one pool.
 *
 * @param limits - Limits by team.
 * @returns The text.
 */
export const rulesWithLimits = (limits: TeamLimits): string =>
  [
    "pool p hosts=t-* max-unavailable=1 max-unavailable-per-rack=1 spare=no # ops: test",
    ...Object.entries(limits).flatMap(([team, limit]) => [
      `team ${team} share=1 limit=${limit} # ops: test`,
      `queue q-${team} pool=p open=yes team=${team} urgent=no max-queued=500 timeout-ms=600000 # ops: test`,
    ]),
    "",
  ].join("\n");
