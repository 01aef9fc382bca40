import { Gauge, type Registry } from "prom-client";

/**
 * Adds a gauge whose value is read when metrics are collected.
 *
 * @param registry - Takes the gauge.
 * @param read - Tells the present value.
 */
export const watchGauge = (
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void => {
  const gauge: Gauge = new Gauge({
    name,
    help,
    registers: [registry],
    collect: () => {
      gauge.set(read());
    },
  });
};
