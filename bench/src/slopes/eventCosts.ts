/** Handling times of the events of one kind, and the sum of their step counts. */
interface Cost {
  readonly us: number[];
  steps: number;
}

/** Summary of the events of one kind. */
export interface CostLine {
  readonly kind: string;
  readonly count: number;
  readonly medianUs: number;
  readonly meanUs: number;
  /** Mean number of steps that the reducer counts for an event. */
  readonly steps: number;
}

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

/** Collects the handling costs of events by kind. */
export class EventCosts {
  private readonly kinds = new Map<string, Cost>();

  record(kind: string, us: number, steps: number): void {
    let cost = this.kinds.get(kind);
    if (cost === undefined) {
      cost = { us: [], steps: 0 };
      this.kinds.set(kind, cost);
    }
    cost.us.push(us);
    cost.steps += steps;
  }

  clear(): void {
    this.kinds.clear();
  }

  /** @returns Handling time of all events, in microseconds. */
  totalUs(): number {
    return sumOf([...this.kinds.values()].map(({ us }) => sumOf(us)));
  }

  /** @returns A summary of each kind, sorted by name. */
  lines(): CostLine[] {
    return [...this.kinds]
      .map(([kind, { us, steps }]) => ({
        kind,
        count: us.length,
        medianUs: [...us].sort((one, other) => one - other)[us.length >> 1] ?? 0,
        meanUs: sumOf(us) / us.length,
        steps: steps / us.length,
      }))
      .sort((one, other) => one.kind.localeCompare(other.kind));
  }
}
