import { HostNameOrder, RackByRackOrder, RackRoundRobinOrder } from "@heatherferry/core";
import { SHAPES } from "./shapes.js";
import { WaveRun } from "./waveRun.js";

const orders = [new HostNameOrder(), new RackRoundRobinOrder(), new RackByRackOrder()];

const print = (...cells: readonly (string | number)[]): void => {
  const texts = cells.map((cell) => (typeof cell === "number" ? cell.toFixed(2) : cell));
  process.stdout.write(`| ${texts.join(" | ")} |\n`);
};

print(
  "fleet",
  "hosts per rack out",
  "order",
  "roll-out h",
  "bound h",
  "ratio",
  "host-hours out",
  "host-hours reserved",
  "writes per host",
  "reducer ms per host",
);
print(...Array.from({ length: 10 }, () => "---"));
/** Part of the names of the fleets to run; all without one. */
const wanted = process.argv[2] ?? "";

for (const shape of SHAPES.filter(({ name }) => name.includes(wanted))) {
  for (const maxPerRack of [1, shape.maxUnavailable]) {
    for (const order of orders) {
      const result = new WaveRun(shape, maxPerRack, order).run();
      print(
        shape.name,
        String(maxPerRack),
        order.constructor.name,
        result.rollOutHours,
        result.boundHours,
        result.rollOutHours / result.boundHours,
        result.outHostHours,
        result.reservedHostHours,
        result.writesPerHost,
        result.reducerMsPerHost,
      );
    }
  }
}
