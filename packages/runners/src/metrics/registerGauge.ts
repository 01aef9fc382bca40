import { Gauge, type Registry } from "prom-client";

/**
 * Registers a gauge whose value is read when metrics are collected.
 *
 * @param registry - Registry to add the gauge to.
 * @param read - Returns the current value.
 */
export const registerGauge = (
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
