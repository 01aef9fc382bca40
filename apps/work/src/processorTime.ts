const US_PER_MS = 1_000;

/** Processor time that the process has used, on all its threads. */
export abstract class ProcessorTime {
  /** @returns Time used since the start, in ms. */
  abstract usedMs(): number;
}

/** As the operating system counts it. */
export class CountedProcessorTime extends ProcessorTime {
  override usedMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / US_PER_MS;
  }
}
