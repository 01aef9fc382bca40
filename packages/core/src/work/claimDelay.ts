import { OWNERSHIP } from "./constants.js";
import type { WorkloadState } from "./state.js";

const CORE_MILLI = 1_000;

/** @returns A spread by name, so that nodes do not all claim at once; in ms. */
const spreadMs = (work: WorkloadState): number => {
  let sum = 0;
  for (const char of work.identity.incarnation) {
    sum = (sum * 31 + char.charCodeAt(0)) % 1_000;
  }
  return (OWNERSHIP.CLAIM_SPREAD_MS * sum) / 1_000;
};

/** @returns The most processor time that an owner had so far, or that this node has; in milli-cores. */
export const strongestMilli = ({ processorMilli, ownerView }: WorkloadState): number =>
  Math.max(processorMilli, ownerView.row?.strongestMilli ?? 0);

/** @returns Whether a node has much less processor time than the strongest owner so far. */
export const isWeak = (work: WorkloadState): boolean =>
  work.processorMilli < OWNERSHIP.STRONG_SHARE * strongestMilli(work);

/**
 * One node decides for all pools and is bound by its processor, so those with the most go first.
 *
 * @returns How long a node that may claim the work waits before it does, in ms.
 */
export const claimDelayMs = (work: WorkloadState): number => {
  const { processorMilli } = work;
  if (work.ownerView.row === null) {
    const coresShort = CORE_MILLI / Math.max(1, processorMilli) - 1;
    return spreadMs(work) + OWNERSHIP.FIRST_CLAIM_MS * Math.max(0, coresShort);
  }
  return spreadMs(work) + (isWeak(work) ? OWNERSHIP.WEAK_CLAIM_MS : 0);
};
