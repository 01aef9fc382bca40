import { CLIENT_SHARE } from "./constants.js";

/** What the machine of a process offers. */
export interface MachineSize {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

/** Limits on the clients of a process that follow from the size of its machine. */
export interface ClientLimits {
  readonly maxConnections: number;
  /** Most connections of other processes of the system. */
  readonly maxPeerConnections: number;
  /** Most calls of all of them that are open at once. */
  readonly maxPeerCalls: number;
  /** Memory for bodies that are being read, and as much again for those that are open. */
  readonly bodyBudgetBytes: number;
  /** Memory for what clients send ahead of the answers that they wait for. */
  readonly aheadBudgetBytes: number;
}

const BYTES_PER_MB = 1_048_576;

/**
 * Returns the limits on clients for a machine.
 *
 * @param machine - Size of the machine.
 */
export const clientLimitsOf = ({ memoryMb, maxDescriptors }: MachineSize): ClientLimits => {
  const memoryBytes = memoryMb * BYTES_PER_MB;
  const byMemory =
    (memoryBytes * CLIENT_SHARE.CONNECTION_MEMORY) / CLIENT_SHARE.BYTES_PER_CONNECTION;
  const sockets = maxDescriptors - CLIENT_SHARE.RESERVED_DESCRIPTORS;
  return {
    maxConnections: Math.max(
      CLIENT_SHARE.MIN_CONNECTIONS,
      Math.floor(Math.min(byMemory, sockets * CLIENT_SHARE.CLIENT_SOCKETS)),
    ),
    maxPeerConnections: Math.max(
      CLIENT_SHARE.MIN_CONNECTIONS,
      Math.floor(
        Math.min(
          sockets * CLIENT_SHARE.PEER_SOCKETS,
          (memoryBytes * CLIENT_SHARE.PEER_MEMORY) / CLIENT_SHARE.BYTES_PER_PEER_CONNECTION,
        ),
      ),
    ),
    maxPeerCalls: Math.max(
      CLIENT_SHARE.MIN_CONNECTIONS,
      Math.floor((memoryBytes * CLIENT_SHARE.PEER_MEMORY) / CLIENT_SHARE.BYTES_PER_PEER_CALL),
    ),
    bodyBudgetBytes: Math.floor(memoryBytes * CLIENT_SHARE.BODY_MEMORY),
    aheadBudgetBytes: Math.floor(memoryBytes * CLIENT_SHARE.AHEAD_MEMORY),
  };
};
