import type { AvailabilityZoneId } from "@heatherferry/common";
import { NO_ROW, type StoreVersion } from "../types.js";
import type { EvacuationRequest, Evacuations } from "./types.js";

export const newEvacuations = (): Evacuations => ({ requests: new Map(), returns: new Map() });

/**
 * Takes a request into force. One that is known already keeps the time at which it was first seen.
 *
 * @returns Whether it is new.
 */
export const addRequest = (
  { requests, returns }: Evacuations,
  request: EvacuationRequest,
): boolean => {
  const { zone, version } = request;
  const known = requests.get(zone);
  if (known !== undefined && known.version >= version) {
    return false;
  }
  requests.set(zone, request);
  returns.delete(zone);
  return true;
};

/**
 * Ends a request whose row was removed; the workers of its zone return from then on.
 *
 * @param version - Version of the removal; 0 if the store did not tell. A feed repeats changes after
 *   a full read, so an earlier removal does not end a later request.
 * @returns The request that has ended; null if there was none.
 */
export const removeRequest = (
  { requests, returns }: Evacuations,
  zone: AvailabilityZoneId,
  version: StoreVersion,
  nowMs: number,
): EvacuationRequest | null => {
  const known = requests.get(zone);
  if (known === undefined || (version !== NO_ROW && version < known.version)) {
    return null;
  }
  requests.delete(zone);
  returns.set(zone, nowMs);
  return known;
};

/** Returns the zones whose requests are missing from a full read of the operators' table. */
export const zonesWithoutRow = (
  { requests }: Evacuations,
  listed: ReadonlySet<AvailabilityZoneId>,
): AvailabilityZoneId[] => [...requests.keys()].filter((zone) => !listed.has(zone));
