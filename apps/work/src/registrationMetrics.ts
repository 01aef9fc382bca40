import type { State } from "@heatherferry/core";
import type { PlatformStore } from "@heatherferry/platform";
import { registerGauge } from "@heatherferry/runners";
import type { Registry } from "prom-client";

/**
 * Registers the metrics of registrations that name no worker, and of rows that cannot be read.
 *
 * @param registry - Receives the metrics.
 * @param state - State of the node, read at each collection.
 * @param store - Provides the number of unreadable rows.
 */
export const registerRegistrationMetrics = (
  registry: Registry,
  state: State,
  store: PlatformStore,
): void => {
  registerGauge(
    registry,
    "heatherferry_registrations_set_aside",
    "Registrations in pools that the catalog does not name",
    () => state.work?.owned?.setAside.size ?? 0,
  );
  registerGauge(
    registry,
    "heatherferry_registrations_refuted",
    "Ids of registrations that name a host or an id whose worker has answered since",
    () => state.work?.owned?.refutedRegistrations.size ?? 0,
  );
  registerGauge(
    registry,
    "heatherferry_unreadable_rows",
    "Rows of the store that could not be read when they were last seen",
    () => store.unreadableRows,
  );
};
