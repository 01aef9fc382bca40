const US_PER_MS = 1_000;

/** Measures the processor time that the process has used on all its threads. */
export abstract class ProcessorTime {
  /** Returns the processor time used since the process started, in ms. */
  abstract usedMs(): number;
}

/** Reads the processor time that the operating system has charged to the process. */
export class OsProcessorTime extends ProcessorTime {
  override usedMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / US_PER_MS;
  }
}
