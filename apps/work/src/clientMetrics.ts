import type { PlatformFront } from "@heatherferry/platform";
import { registerGauge } from "@heatherferry/runners";
import type { Registry } from "prom-client";

/**
 * Registers metrics of the callers' connections and bodies.
 *
 * @param registry - Registry to add the metrics to.
 * @param front - Provides the values.
 */
export const registerClientMetrics = (registry: Registry, front: PlatformFront): void => {
  registerGauge(
    registry,
    "heatherferry_client_connections",
    "Open connections of callers",
    () => front.connections,
  );
  registerGauge(
    registry,
    "heatherferry_client_body_bytes",
    "Bytes of bodies that are being read or whose calls wait for their answers",
    () => front.bodyBytes,
  );
};
