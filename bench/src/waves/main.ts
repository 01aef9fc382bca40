import { HostNameOrder, RackByRackOrder, RackRoundRobinOrder } from "@heatherferry/core";
import { FLEET_SHAPES } from "./fleetShapes.js";
import { WaveRun } from "./waveRun.js";

const orders = [new HostNameOrder(), new RackRoundRobinOrder(), new RackByRackOrder()];

const printRow = (...cells: readonly (string | number)[]): void => {
  const texts = cells.map((cell) => (typeof cell === "number" ? cell.toFixed(2) : cell));
  process.stdout.write(`| ${texts.join(" | ")} |\n`);
};

printRow(
  "fleet",
  "max unavailable per rack",
  "order",
  "rollout h",
  "minimum h",
  "ratio",
  "host-hours unavailable",
  "host-hours reserved",
  "writes per host",
  "reducer ms per host",
);
printRow(...Array.from({ length: 10 }, () => "---"));
/** Text that the names of the simulated fleets contain; by default all fleets are simulated. */
const nameFilter = process.argv[2] ?? "";

for (const shape of FLEET_SHAPES.filter(({ name }) => name.includes(nameFilter))) {
  for (const maxPerRack of [1, shape.maxUnavailable]) {
    for (const order of orders) {
      const result = new WaveRun(shape, maxPerRack, order).run();
      printRow(
        shape.name,
        String(maxPerRack),
        order.constructor.name,
        result.rollOutHours,
        result.minHours,
        result.rollOutHours / result.minHours,
        result.unavailableHostHours,
        result.reservedHostHours,
        result.writesPerHost,
        result.reducerMsPerHost,
      );
    }
  }
}
