import { keyOf, QUEUE_HOST } from "./soakClient.js";
import type { SoakPlan } from "./types.js";

/** What a revision of the configuration changes. */
export interface ConfigChanges {
  /** Queues that nobody uses. */
  readonly idleQueues: number;
  /** Factor on the teams' ceilings. */
  readonly ceilingFactor: number;
}

const MAX_BODY_BYTES = 262_144;

/** Returns a configuration as the operators write it. */
export const configOf = (
  { kinds, pools, teams }: SoakPlan,
  revision: number,
  { idleQueues, ceilingFactor }: ConfigChanges,
): object => ({
  version: revision,
  routes: [
    ...kinds.map(({ name, pool, priority, maxAttempts, stretchFactor, targetDurationMs }) => ({
      name,
      host: QUEUE_HOST,
      prefix: `/${name}/`,
      service: pool,
      priority,
      maxAttempts,
      stretchFactor,
      targetDurationMs,
    })),
    ...Array.from({ length: idleQueues }, (_, index) => ({
      name: `idle-${index}`,
      host: `idle-${index}.example`,
      prefix: "/idle/",
      service: pools[0]?.name ?? "",
      priority: 0,
      maxAttempts: 1,
      stretchFactor: 1,
      targetDurationMs: 1_000,
    })),
  ],
  services: pools.map(({ name, standby }) => ({
    name,
    enforcesCapacity: false,
    ...(standby ? { standby } : {}),
  })),
  tenants: teams.map(({ name, weight, ceilingCpuMilli }) => ({
    name,
    weight,
    ceiling: { cpu: Math.round(ceilingCpuMilli * ceilingFactor), memMb: 0, gpu: 0 },
    apiKeys: [keyOf(name)],
  })),
  limits: { maxBodyBytes: MAX_BODY_BYTES },
});
