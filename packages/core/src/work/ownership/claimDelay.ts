import { OWNERSHIP } from "../constants.js";
import type { WorkloadState } from "../state.js";

const CORE_MILLI = 1_000;

/** Returns a delay derived from the node's incarnation, so that nodes do not all claim at once. */
const claimJitterMs = (work: WorkloadState): number => {
  let sum = 0;
  for (const char of work.identity.incarnation) {
    sum = (sum * 31 + char.charCodeAt(0)) % 1_000;
  }
  return (OWNERSHIP.CLAIM_JITTER_MS * sum) / 1_000;
};

/** Returns the most processor time of any owner so far and of this node, in milli-cores. */
export const strongestOwnerMilli = ({ processorMilli, ownerView }: WorkloadState): number =>
  Math.max(processorMilli, ownerView.row?.strongestMilli ?? 0);

/** Whether this node has much less processor time than the strongest owner so far. */
export const isUnderpowered = (work: WorkloadState): boolean =>
  work.processorMilli < OWNERSHIP.MIN_PROCESSOR_SHARE * strongestOwnerMilli(work);

/**
 * Returns how long this node waits before it claims ownership that is free. Nodes with more
 * processor time wait less, since one owner decides for all pools and is bound by its processor.
 */
export const claimDelayMs = (work: WorkloadState): number => {
  const { processorMilli } = work;
  if (work.ownerView.row === null) {
    const coresShort = CORE_MILLI / Math.max(1, processorMilli) - 1;
    return claimJitterMs(work) + OWNERSHIP.FIRST_CLAIM_DELAY_MS * Math.max(0, coresShort);
  }
  return claimJitterMs(work) + (isUnderpowered(work) ? OWNERSHIP.UNDERPOWERED_CLAIM_DELAY_MS : 0);
};
