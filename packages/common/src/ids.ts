declare const brand: unique symbol;

/** A primitive with a nominal type, created only by the constructor function of that type. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

export type TeamId = Brand<string, "TeamId">;
export type PoolId = Brand<string, "PoolId">;
export type QueueId = Brand<string, "QueueId">;
export type HostId = Brand<string, "HostId">;
export type EntryHostId = Brand<string, "EntryHostId">;
export type AvailabilityZoneId = Brand<string, "AvailabilityZoneId">;
export type RackId = Brand<string, "RackId">;
export type KeyId = Brand<string, "KeyId">;
export type KeyHash = Brand<string, "KeyHash">;
export type RequestId = Brand<string, "RequestId">;
export type AttemptId = Brand<string, "AttemptId">;
export type WaveId = Brand<string, "WaveId">;
export type WriteId = Brand<string, "WriteId">;
export type RowKey = Brand<string, "RowKey">;
/** `host:port` of a listening socket. */
export type Address = Brand<string, "Address">;
/** Identifies one run of a process, from start to exit; a restart gets a new one. */
export type Incarnation = Brand<string, "Incarnation">;
/** Revision number of the operators' rules; it never decreases. */
export type Revision = Brand<number, "Revision">;
/** Commit sequence number of the platform's table. */
export type TableVersion = Brand<number, "TableVersion">;

export const teamId = (value: string): TeamId => value as TeamId;
export const poolId = (value: string): PoolId => value as PoolId;
export const queueId = (value: string): QueueId => value as QueueId;
export const hostId = (value: string): HostId => value as HostId;
export const entryHostId = (value: string): EntryHostId => value as EntryHostId;
export const availabilityZoneId = (value: string): AvailabilityZoneId =>
  value as AvailabilityZoneId;
export const rackId = (value: string): RackId => value as RackId;
export const keyId = (value: string): KeyId => value as KeyId;
export const keyHash = (value: string): KeyHash => value as KeyHash;
export const requestId = (value: string): RequestId => value as RequestId;
export const attemptId = (value: string): AttemptId => value as AttemptId;
export const waveId = (value: string): WaveId => value as WaveId;
export const writeId = (value: string): WriteId => value as WriteId;
export const rowKey = (value: string): RowKey => value as RowKey;
export const address = (value: string): Address => value as Address;
export const incarnation = (value: string): Incarnation => value as Incarnation;
export const revision = (value: number): Revision => value as Revision;
export const tableVersion = (value: number): TableVersion => value as TableVersion;
