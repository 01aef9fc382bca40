import type { AvailabilityZoneId } from "@heatherferry/common";
import { EVACUATION_STATE } from "./constants.js";
import type {
  EvacuationRecord,
  EvacuationReport,
  EvacuationRequest,
  Evacuations,
  RemainingWork,
} from "./types.js";

export const NOTHING_REMAINS: RemainingWork = {
  workers: 0,
  batchRuns: 0,
  movingRuns: 0,
  heldRuns: 0,
  unplacedRuns: 0,
};

/** Returns how many runs remain in a zone. */
export const runsLeft = (work: RemainingWork): number =>
  work.batchRuns + work.movingRuns + work.heldRuns + work.unplacedRuns;

/** Returns the report on a request; a report on the same request keeps its start. */
const reportOn = (
  { zone, version, seenWallMs }: EvacuationRequest,
  work: RemainingWork,
  previous: EvacuationReport | undefined,
): EvacuationReport => ({
  zone,
  state: runsLeft(work) === 0 ? EVACUATION_STATE.EMPTIED : EVACUATION_STATE.EMPTYING,
  requestVersion: version,
  sinceWallMs: previous?.requestVersion === version ? previous.sinceWallMs : seenWallMs,
  ...work,
});

const isSame = (one: EvacuationReport | undefined, other: EvacuationReport): boolean =>
  one !== undefined &&
  Object.entries(other).every(([name, value]) => one[name as keyof EvacuationReport] === value);

/**
 * Brings the reports up to date: one for each request, and an end for those without a request.
 *
 * @param records - Reports by zone, changed in place.
 * @param workIn - Returns what still runs in a zone.
 * @returns The reports whose state has changed.
 */
export const updateReports = (
  records: Map<AvailabilityZoneId, EvacuationRecord>,
  { requests }: Evacuations,
  workIn: (zone: AvailabilityZoneId) => RemainingWork,
): EvacuationReport[] => {
  const changed: EvacuationReport[] = [];
  const record = (report: EvacuationReport): void => {
    const previous = records.get(report.zone)?.report;
    if (!isSame(previous, report)) {
      records.set(report.zone, { report, dirty: true });
      if (previous?.state !== report.state || previous.requestVersion !== report.requestVersion) {
        changed.push(report);
      }
    }
  };
  for (const request of requests.values()) {
    record(reportOn(request, workIn(request.zone), records.get(request.zone)?.report));
  }
  for (const [zone, { report }] of records) {
    if (!requests.has(zone)) {
      record({ ...report, ...NOTHING_REMAINS, state: EVACUATION_STATE.ENDED });
    }
  }
  return changed;
};

/** Whether there is anything to report on. */
export const hasOpenReports = (
  records: ReadonlyMap<AvailabilityZoneId, EvacuationRecord>,
  { requests }: Evacuations,
): boolean =>
  requests.size > 0 ||
  [...records.values()].some(({ report }) => report.state !== EVACUATION_STATE.ENDED);
