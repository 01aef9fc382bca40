import type { TeamId } from "@heatherferry/common";
import { RESOURCES } from "../workers/workerResources.js";
import type { TeamUse } from "../state.js";
import type { Resources } from "../types.js";

/** Adds resources to those that a team uses, or subtracts them. Ignores work without a team. */
export const chargeTeam = (
  uses: Map<TeamId, TeamUse>,
  team: TeamId | null,
  needs: Resources,
  sign: 1 | -1,
): void => {
  if (team === null) {
    return;
  }
  const use = uses.get(team) ?? { cpuMilli: 0, memoryMb: 0, gpus: 0 };
  uses.set(team, use);
  RESOURCES.forEach((resource) => {
    use[resource] += sign * needs[resource];
  });
};
