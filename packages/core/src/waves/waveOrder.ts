import type { HostId, RackId } from "@heatherferry/common";
import type { HostRow } from "../fleet/types.js";

/** The order in which the hosts of a wave are tried for a permit. */
export abstract class WaveOrder {
  /**
   * @param remaining - Hosts that the wave has still to take, in any order.
   * @returns All of them, the first to be tried first.
   */
  abstract arrange(remaining: readonly HostRow[]): readonly HostRow[];
}

const byName = (left: HostRow, right: HostRow): number => (left.hostId < right.hostId ? -1 : 1);

const groupByRack = (hosts: readonly HostRow[]): Map<RackId, HostRow[]> => {
  const racks = new Map<RackId, HostRow[]>();
  for (const host of [...hosts].sort(byName)) {
    const rack = racks.get(host.rack) ?? [];
    rack.push(host);
    racks.set(host.rack, rack);
  }
  return racks;
};

/** Host by host in order of name, wherever they stand. */
export class HostNameOrder extends WaveOrder {
  override arrange(remaining: readonly HostRow[]): readonly HostRow[] {
    return [...remaining].sort(byName);
  }
}

/** One rack after the other, the one with the fewest hosts left first: racks are finished. */
export class RackAfterRackOrder extends WaveOrder {
  override arrange(remaining: readonly HostRow[]): readonly HostRow[] {
    const racks = [...groupByRack(remaining).values()];
    return racks.sort((left, right) => left.length - right.length).flat();
  }
}

/** In turn from all racks, the ones with most hosts left first: no rack is left for the end. */
export class RackRoundRobinOrder extends WaveOrder {
  override arrange(remaining: readonly HostRow[]): readonly HostRow[] {
    const left = new Map<HostId, number>();
    for (const rack of groupByRack(remaining).values()) {
      rack.forEach(({ hostId }, index) => left.set(hostId, rack.length - index));
    }
    return [...remaining].sort(
      (one, other) =>
        (left.get(other.hostId) ?? 0) - (left.get(one.hostId) ?? 0) || byName(one, other),
    );
  }
}
