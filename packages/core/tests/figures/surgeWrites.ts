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
/** Interval between the starts of the surges of successive teams, when they surge in turn. */
const SURGE_INTERVAL_S = 1.5;
const SURGE_FACTOR = 5;
const LULL_FACTOR = 0.05;
/** Mean requests per second of a team over the whole fleet. */
const MEAN_PER_SECOND = 10;

const TEAMS = Array.from({ length: TEAM_COUNT }, (_, index) => `t${index}`);

/** Factor on the mean load of a team, by the team's index and the time in seconds. */
type LoadFactor = (team: number, atS: number) => number;

const inTurn: LoadFactor = (team, atS) => {
  const sinceS = (atS - team * SURGE_INTERVAL_S) % (TEAM_COUNT * SURGE_INTERVAL_S);
  if (sinceS < 0 || sinceS >= 2 * SURGE_S) {
    return 1;
  }
  return sinceS < SURGE_S ? SURGE_FACTOR : LULL_FACTOR;
};

const allAtOnce: LoadFactor = (_team, atS) => {
  const sinceS = atS - WARM_UP_S;
  if (sinceS < 0 || sinceS >= 2 * SURGE_S) {
    return 1;
  }
  return sinceS < SURGE_S ? SURGE_FACTOR : LULL_FACTOR;
};

const hostsByZone = (): Record<string, number> =>
  Object.fromEntries(
    Array.from({ length: ZONE_COUNT }, (_, index) => [
      `z${index}-`,
      Math.floor(HOST_COUNT / ZONE_COUNT) + (index < HOST_COUNT % ZONE_COUNT ? 1 : 0),
    ]),
  );

const sendRequestsOfSecond = (
  fleet: TestFleet,
  names: readonly string[],
  factor: LoadFactor,
  atS: number,
): void => {
  TEAMS.forEach((team, index) => {
    const count = Math.round(MEAN_PER_SECOND * factor(index, atS));
    for (let request = 0; request < count; request += 1) {
      fleet.sendRequests(names[fleet.randomBelow(names.length)] ?? "", `q-${team}`, 1, SERVICE_MS);
    }
  });
};

/** Load on the table, and waiting requests, in one second. */
interface SecondSample {
  readonly writes: number;
  readonly conflicts: number;
  readonly rowsWritten: number;
  readonly bytesRead: number;
  readonly waiting: number;
}

const waitingRequests = (fleet: TestFleet): number =>
  fleet
    .liveNodes()
    .reduce((sum, { state }) => sum + (state.queues.pools.get("p" as never)?.length ?? 0), 0);

const measure = (
  fleet: TestFleet,
  names: readonly string[],
  factor: LoadFactor,
): SecondSample[] => {
  const samples: SecondSample[] = [];
  for (let atS = 0; atS < WARM_UP_S + MEASURED_S; atS += 1) {
    const { writesSent, table } = fleet;
    const { conflicts, rowsWritten, bytesRead } = table;
    sendRequestsOfSecond(fleet, names, factor, atS);
    fleet.run(1_000);
    samples.push({
      writes: fleet.writesSent - writesSent,
      conflicts: table.conflicts - conflicts,
      rowsWritten: table.rowsWritten - rowsWritten,
      bytesRead: table.bytesRead - bytesRead,
      waiting: waitingRequests(fleet),
    });
  }
  return samples.slice(WARM_UP_S);
};

const summarise = (samples: readonly SecondSample[], field: keyof SecondSample): string => {
  const values = samples.map((sample) => sample[field]);
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return `mean ${mean.toFixed(1)}, highest second ${Math.max(...values)}`;
};

const printScenario = (name: string, factor: LoadFactor): void => {
  const rules = rulesWithLimits(Object.fromEntries(TEAMS.map((team) => [team, LIMIT])));
  const terms = { zones: ZONE_COUNT };
  const startWithinMs = 3_000;
  const fleet = new TestFleet({
    zones: hostsByZone(),
    rules,
    seed: 3,
    slotsPerZone: 8_192,
    startWithinMs,
    terms,
  });
  fleet.run(30_000);
  const names = [...fleet.nodes.keys()];
  const samples = measure(fleet, names, factor);
  console.log(
    `${name}: ${names.length} entry hosts, ${TEAM_COUNT} teams, ${fleet.completedRequests} requests served`,
  );
  console.log(`  writes per second, heartbeats included: ${summarise(samples, "writes")}`);
  console.log(`  of these, conflicts: ${summarise(samples, "conflicts")}`);
  console.log(`  rows written per second: ${summarise(samples, "rowsWritten")}`);
  console.log(`  bytes read per second by all entry hosts: ${summarise(samples, "bytesRead")}`);
  console.log(`  requests waiting at the end of each second: ${summarise(samples, "waiting")}`);
};

/** Prints the load on the table at the design size while teams surge in turn, and all at once. */
export const printSurgeWrites = (): void => {
  printScenario("in turn", inTurn);
  printScenario("all at once", allAtOnce);
};
