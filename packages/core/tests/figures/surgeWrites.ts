import { TestFleet } from "../helpers/testFleet.js";
import { rulesWithLimits } from "../helpers/testRules.js";

const ZONE_COUNT = 17;
const HOST_COUNT = 150;
const TEAM_COUNT = 85;
const LIMIT = 600;
const SERVICE_MS = 8_000;
const WARM_UP_S = 30;
const MEASURED_S = 30;
const SURGE_S = 8;
/** In turn: a surge of the next team begins this often. */
const NEXT_SURGE_S = 1.5;
const SURGE_FACTOR = 5;
const LULL_FACTOR = 0.05;
/** Requests of a team in a second at its mean, over the fleet. */
const MEAN_PER_SECOND = 10;

const TEAMS = Array.from({ length: TEAM_COUNT }, (_, index) => `t${index}`);

type Factor = (team: number, atS: number) => number;

const inTurn: Factor = (team, atS) => {
  const sinceS = (atS - team * NEXT_SURGE_S) % (TEAM_COUNT * NEXT_SURGE_S);
  if (sinceS < 0 || sinceS >= 2 * SURGE_S) {
    return 1;
  }
  return sinceS < SURGE_S ? SURGE_FACTOR : LULL_FACTOR;
};

const allAtOnce: Factor = (_team, atS) => {
  const sinceS = atS - WARM_UP_S;
  if (sinceS < 0 || sinceS >= 2 * SURGE_S) {
    return 1;
  }
  return sinceS < SURGE_S ? SURGE_FACTOR : LULL_FACTOR;
};

const zonesOf = (): Record<string, number> =>
  Object.fromEntries(
    Array.from({ length: ZONE_COUNT }, (_, index) => [
      `z${index}-`,
      Math.floor(HOST_COUNT / ZONE_COUNT) + (index < HOST_COUNT % ZONE_COUNT ? 1 : 0),
    ]),
  );

const offerSecond = (
  fleet: TestFleet,
  names: readonly string[],
  factor: Factor,
  atS: number,
): void => {
  TEAMS.forEach((team, index) => {
    const count = Math.round(MEAN_PER_SECOND * factor(index, atS));
    for (let request = 0; request < count; request += 1) {
      fleet.offer(names[fleet.pick(names.length)] ?? "", `q-${team}`, 1, SERVICE_MS);
    }
  });
};

interface Second {
  readonly writes: number;
  readonly conflicts: number;
  readonly rowsWritten: number;
  readonly bytesRead: number;
  readonly waiting: number;
}

const waitingIn = (fleet: TestFleet): number =>
  fleet
    .liveNodes()
    .reduce((sum, { state }) => sum + (state.queues.pools.get("p" as never)?.length ?? 0), 0);

const measure = (fleet: TestFleet, names: readonly string[], factor: Factor): Second[] => {
  const seconds: Second[] = [];
  for (let atS = 0; atS < WARM_UP_S + MEASURED_S; atS += 1) {
    const { writesSent, table } = fleet;
    const { conflicts, rowsWritten, bytesRead } = table;
    offerSecond(fleet, names, factor, atS);
    fleet.run(1_000);
    seconds.push({
      writes: fleet.writesSent - writesSent,
      conflicts: table.conflicts - conflicts,
      rowsWritten: table.rowsWritten - rowsWritten,
      bytesRead: table.bytesRead - bytesRead,
      waiting: waitingIn(fleet),
    });
  }
  return seconds.slice(WARM_UP_S);
};

const describe = (seconds: readonly Second[], field: keyof Second): string => {
  const values = seconds.map((second) => second[field]);
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return `mean ${mean.toFixed(1)}, highest second ${Math.max(...values)}`;
};

const printRun = (name: string, factor: Factor): void => {
  const rules = rulesWithLimits(Object.fromEntries(TEAMS.map((team) => [team, LIMIT])));
  const terms = { zones: ZONE_COUNT };
  const startWithinMs = 3_000;
  const fleet = new TestFleet({
    zones: zonesOf(),
    rules,
    seed: 3,
    slotsPerZone: 8_192,
    startWithinMs,
    terms,
  });
  fleet.run(30_000);
  const names = [...fleet.nodes.keys()];
  const seconds = measure(fleet, names, factor);
  console.log(
    `${name}: ${names.length} entry hosts, ${TEAM_COUNT} teams, ${fleet.served} requests served`,
  );
  console.log(`  writes a second, heartbeats included: ${describe(seconds, "writes")}`);
  console.log(`  of these conflicts: ${describe(seconds, "conflicts")}`);
  console.log(`  rows written a second: ${describe(seconds, "rowsWritten")}`);
  console.log(`  bytes read a second by all: ${describe(seconds, "bytesRead")}`);
  console.log(`  requests waiting at the end of a second: ${describe(seconds, "waiting")}`);
};

/** Prints the table's load at the design size while teams surge in turn, and all at once. */
export const printSurge = (): void => {
  printRun("in turn", inTurn);
  printRun("all at once", allAtOnce);
};
