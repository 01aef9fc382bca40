import type { TeamId } from "@heatherferry/common";
import { DueQueue, KeyedHeap } from "@heatherferry/coordination";
import { lookedAt } from "./effort.js";
import { goesBefore, RANK, standingOf, type Standing } from "./ranking.js";
import type { Submission } from "./state.js";
import type { Turn } from "./turn.js";
import { hostsToWant, type HostsWanted } from "./waitingWork.js";
import type { Resources } from "./types.js";

class OrderHeap extends KeyedHeap<Submission, Standing> {
  protected override isBefore(one: Standing, other: Standing): boolean {
    return goesBefore(one, other);
  }
}

class MaxHeap extends KeyedHeap<Submission, number> {
  protected override isBefore(one: number, other: number): boolean {
    return one > other;
  }
}

/** Submissions of one team that wait for capacity in a pool, with sums over them. */
export class TeamBacklog {
  /** In the order in which the submissions get capacity. */
  readonly heap = new OrderHeap();
  /**
   * For each submission with a step that limits its items per worker, the workers that the ready
   * items need; the largest number first.
   */
  readonly spreads = new MaxHeap();
  /** For each expired submission, the hosts that its largest ready item needs; the largest first. */
  readonly worthlessItems = new MaxHeap();
  /** Hosts that the ready items of unexpired submissions need. */
  hosts = 0;
  /** The part of them for submissions that can still meet their deadline. */
  inTimeHosts = 0;
  /** Hosts that the ready items of expired submissions need. */
  worthlessHosts = 0;
  /** Submissions, including those that a placement pass has taken off the heap. */
  members = 0;

  /** Sets the sums of an empty backlog to zero, which discards accumulated rounding errors. */
  clearSums(): void {
    this.hosts = 0;
    this.inTimeHosts = 0;
    this.worthlessHosts = 0;
  }
}

interface BacklogEntry {
  readonly team: TeamBacklog;
  readonly orderKey: Standing;
  readonly demand: HostsWanted;
}

/** The submissions that wait for capacity in a pool, in the order in which they get it. */
export class Backlog {
  private readonly entries = new Map<Submission, BacklogEntry | null>();
  private readonly teams = new Map<TeamId | null, TeamBacklog>();
  /** Submissions whose order key or demand may have changed since the last refresh. */
  private readonly stale = new Set<Submission>();
  /** Submissions by the time at which their rank changes. */
  private readonly rankChanges = new DueQueue<Submission>();
  private host: Resources | null = null;

  get size(): number {
    return this.entries.size;
  }

  /** Adds a submission and removes it from the backlog that it was in before. */
  add(submission: Submission): void {
    if (!this.entries.has(submission)) {
      submission.backlog?.remove(submission);
      submission.backlog = this;
      this.entries.set(submission, null);
    }
    this.stale.add(submission);
  }

  remove(submission: Submission): void {
    this.detach(submission);
    this.entries.delete(submission);
    this.stale.delete(submission);
    this.rankChanges.delete(submission);
    submission.backlog = null;
  }

  /** Marks a submission whose ready items or state have changed for the next refresh. */
  changed(submission: Submission): void {
    this.stale.add(submission);
  }

  /** Marks all submissions for the next refresh, because priorities may have changed. */
  allChanged(): void {
    for (const submission of this.entries.keys()) {
      this.stale.add(submission);
    }
  }

  /**
   * Recomputes the order keys and demands that may have changed.
   *
   * @param host - Capacity of a host of the pool.
   */
  refresh(turn: Turn, host: Resources): void {
    if (this.host?.cpuMilli !== host.cpuMilli || this.host.memoryMb !== host.memoryMb) {
      this.host = host;
      this.allChanged();
    }
    for (const submission of this.rankChanges.takeDue(turn.nowMs)) {
      this.stale.add(submission);
    }
    lookedAt(turn, this.stale.size);
    for (const submission of this.stale) {
      if (submission.ready.size === 0) {
        this.remove(submission);
      } else {
        this.insert(turn, host, submission);
      }
    }
    this.stale.clear();
  }

  /** Returns the backlogs of the teams. */
  byTeam(): readonly TeamBacklog[] {
    return [...this.teams.values()];
  }

  private insert(turn: Turn, host: Resources, submission: Submission): void {
    this.detach(submission);
    const orderKey = standingOf(turn, submission);
    const team = this.teamBacklog(submission.handIn.team);
    const demand = hostsToWant(submission, host, orderKey.rank);
    this.entries.set(submission, { team, orderKey, demand });
    team.heap.set(submission, orderKey);
    if (demand.spread > 0) {
      team.spreads.set(submission, demand.spread);
    }
    if (orderKey.rank === RANK.WORTHLESS) {
      team.worthlessItems.set(submission, demand.largest);
    }
    addToSums(team, orderKey, demand, 1);
    team.members += 1;
    if (Number.isFinite(orderKey.changesAtMs)) {
      this.rankChanges.set(submission, orderKey.changesAtMs + 1);
    } else {
      this.rankChanges.delete(submission);
    }
  }

  private detach(submission: Submission): void {
    const entry = this.entries.get(submission) ?? null;
    if (entry === null) {
      return;
    }
    const { team, orderKey, demand } = entry;
    team.heap.delete(submission);
    team.spreads.delete(submission);
    team.worthlessItems.delete(submission);
    addToSums(team, orderKey, demand, -1);
    team.members -= 1;
    this.entries.set(submission, null);
    if (team.members === 0) {
      team.clearSums();
    }
  }

  private teamBacklog(team: TeamId | null): TeamBacklog {
    let backlog = this.teams.get(team);
    if (backlog === undefined) {
      backlog = new TeamBacklog();
      this.teams.set(team, backlog);
    }
    return backlog;
  }
}

const addToSums = (
  team: TeamBacklog,
  { rank }: Standing,
  { hosts }: HostsWanted,
  sign: 1 | -1,
): void => {
  if (rank === RANK.WORTHLESS) {
    team.worthlessHosts += sign * hosts;
    return;
  }
  team.hosts += sign * hosts;
  team.inTimeHosts += rank <= RANK.TIGHT ? sign * hosts : 0;
};

/** One placement pass over a backlog. Submissions that get no capacity keep their positions. */
export class BacklogPass {
  private readonly visited: {
    readonly team: TeamBacklog;
    readonly submission: Submission;
    readonly orderKey: Standing;
  }[] = [];
  private readonly teams: Set<TeamBacklog>;

  constructor(private readonly backlog: Backlog) {
    this.teams = new Set(backlog.byTeam());
  }

  /** Returns the next submission in the order, or null at the end of the pass. */
  next(): Submission | null {
    let best: TeamBacklog | null = null;
    let bestKey: Standing | null = null;
    for (const team of this.teams) {
      const key = team.heap.firstKey();
      if (key !== null && (bestKey === null || goesBefore(key, bestKey))) {
        best = team;
        bestKey = key;
      }
    }
    const submission = best?.heap.first() ?? null;
    if (best === null || bestKey === null || submission === null) {
      return null;
    }
    best.heap.delete(submission);
    this.visited.push({ team: best, submission, orderKey: bestKey });
    return submission;
  }

  /** Leaves the remaining submissions of the last one's team out of the pass. */
  skipTeam(): void {
    const last = this.visited.at(-1);
    if (last !== undefined) {
      this.teams.delete(last.team);
    }
  }

  /** Puts the visited submissions that still wait back on their heaps. */
  end(): void {
    for (const { team, submission, orderKey } of this.visited) {
      if (submission.backlog === this.backlog) {
        team.heap.set(submission, orderKey);
      }
    }
  }
}
