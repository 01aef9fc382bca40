import type { HostId, RackId } from "@heatherferry/common";
import type { HostRow } from "../fleet/types.js";

/** Decides the order in which a wave requests permits for its hosts. */
export abstract class WaveOrder {
  /**
   * Sorts the remaining hosts of a wave.
   *
   * @param remaining - The hosts that are still to be serviced, in any order.
   * @returns The same hosts in the order in which to try them.
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

/** Orders hosts by name, regardless of their racks. */
export class HostNameOrder extends WaveOrder {
  override arrange(remaining: readonly HostRow[]): readonly HostRow[] {
    return [...remaining].sort(byName);
  }
}

/** Orders hosts rack by rack, fewest remaining hosts first, to finish racks one by one. */
export class RackByRackOrder extends WaveOrder {
  override arrange(remaining: readonly HostRow[]): readonly HostRow[] {
    const racks = [...groupByRack(remaining).values()];
    return racks.sort((left, right) => left.length - right.length).flat();
  }
}

/**
 * Takes hosts from all racks in turn, from those with most remaining hosts first, so that no rack
 * is left for the end.
 */
export class RackRoundRobinOrder extends WaveOrder {
  override arrange(remaining: readonly HostRow[]): readonly HostRow[] {
    const remainingInRack = new Map<HostId, number>();
    for (const rack of groupByRack(remaining).values()) {
      rack.forEach(({ hostId }, index) => remainingInRack.set(hostId, rack.length - index));
    }
    return [...remaining].sort(
      (one, other) =>
        (remainingInRack.get(other.hostId) ?? 0) - (remainingInRack.get(one.hostId) ?? 0) ||
        byName(one, other),
    );
  }
}
