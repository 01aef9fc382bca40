import { createHash } from "node:crypto";
import { DEMO_FLEET, DEMO_TEAMS } from "./constants.js";

/** Returns the secret of a team's key; it is valid only in the demo. */
export const secretOf = (team: string): string => `demo-key-of-${team}-0123456789abcdef`;

const hashOf = (team: string): string => createHash("sha256").update(secretOf(team)).digest("hex");

/** Returns the text of the demo's rules file. */
export const rulesText = (): string => {
  const teams = DEMO_TEAMS.flatMap(({ team, share, limit }) => [
    `team ${team} share=${share} limit=${limit} # asked by ${team}`,
    `key ${team}-key team=${team} hash=${hashOf(team)} # asked by ${team}`,
  ]);
  const services = DEMO_FLEET.SERVICES.flatMap((service) => [
    `pool ${service} hosts=${service}-* max-unavailable=1 # asked by operations`,
    `queue ${service} pool=${service} max-queued=${DEMO_FLEET.MAX_QUEUED} timeout-ms=${DEMO_FLEET.TIMEOUT_MS} # asked by operations`,
  ]);
  return [...teams, ...services, ""].join("\n");
};
