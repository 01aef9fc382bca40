import type { TeamId } from "@heatherferry/common";
import { DueQueue, KeyedHeap } from "@heatherferry/coordination";
import { countSteps } from "../handlingCost.js";
import type { CapacityIndex } from "./capacityIndex.js";
import { precedes, RANK, orderKeyOf, type OrderKey } from "./orderKey.js";
import type { Submission } from "../state.js";
import type { Turn } from "../turn.js";
import type { FleetKinds } from "./fleetKinds.js";
import { refreshRunTimes } from "../submissions/expectedRunTimes.js";
import { findObstacles, hasItemsFor, hasPlaceableItems } from "../submissions/obstacles.js";
import { submissionDemand, type SubmissionDemand } from "./backlogDemand.js";
import type { Resources } from "../types.js";

class OrderHeap extends KeyedHeap<Submission, OrderKey> {
  protected override isBefore(one: OrderKey, other: OrderKey): boolean {
    return precedes(one, other);
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
  readonly spreadWorkers = new MaxHeap();
  /** For each expired submission, the hosts that its largest ready item needs, largest first. */
  readonly expiredItems = new MaxHeap();
  /** Hosts that the ready items of unexpired submissions need. */
  hosts = 0;
  /** Part of `hosts` for submissions that can still meet their deadline. */
  onScheduleHosts = 0;
  /** Hosts that the ready items of expired submissions need. */
  expiredHosts = 0;
  /** Submissions, including those that a placement pass has taken off the heap. */
  submissionCount = 0;

  /** Sets the sums of an empty backlog to zero, which discards accumulated rounding errors. */
  resetSums(): void {
    this.hosts = 0;
    this.onScheduleHosts = 0;
    this.expiredHosts = 0;
  }
}

interface BacklogEntry {
  readonly team: TeamBacklog;
  readonly orderKey: OrderKey;
  readonly demand: SubmissionDemand;
}

/** The submissions that wait for capacity in a pool, in the order in which they get it. */
export class Backlog {
  private readonly entries = new Map<Submission, BacklogEntry | null>();
  private readonly teams = new Map<TeamId | null, TeamBacklog>();
  /** Submissions whose order key or demand may have changed since the last refresh. */
  private readonly stale = new Set<Submission>();
  /** Submissions by the time at which their rank changes. */
  private readonly rankChanges = new DueQueue<Submission>();
  /** Submissions of which no ready item can run on any worker, whatever is free. */
  private readonly unplaceable = new Set<Submission>();
  /** Submissions that wait for a worker of the pool with a label that none has now. */
  private readonly awaitingLabel = new Set<Submission>();
  /** Which of the pool's labels the submissions were last compared with. */
  private labelsVersion = 0;
  /** Submissions that no placement pass of the present round has tried, oldest first. */
  private readonly untried = new Set<Submission>();
  private host: Resources | null = null;

  /** @param workers - The workers of the pool. */
  constructor(private readonly workers: CapacityIndex) {}

  /** Number of submissions that wait for capacity. */
  get size(): number {
    return this.entries.size - this.unplaceable.size - this.awaitingLabel.size;
  }

  /** Whether a placement pass may find a submission to place. */
  get needsPass(): boolean {
    return (
      this.size > 0 || this.stale.size > 0 || this.labelsVersion !== this.workers.labelsVersion
    );
  }

  /** Adds a submission and removes it from the backlog that it was in before. */
  add(submission: Submission): void {
    if (!this.entries.has(submission)) {
      submission.backlog?.remove(submission);
      submission.backlog = this;
      this.entries.set(submission, null);
      this.untried.add(submission);
    }
    this.stale.add(submission);
  }

  remove(submission: Submission): void {
    this.detach(submission);
    this.entries.delete(submission);
    this.untried.delete(submission);
    this.unplaceable.delete(submission);
    this.awaitingLabel.delete(submission);
    this.stale.delete(submission);
    this.rankChanges.delete(submission);
    submission.backlog = null;
  }

  /** Marks a submission whose ready items or state have changed for the next refresh. */
  markChanged(submission: Submission): void {
    this.stale.add(submission);
  }

  /** Marks all submissions for the next refresh, because priorities may have changed. */
  markAllChanged(): void {
    for (const submission of this.entries.keys()) {
      this.stale.add(submission);
    }
  }

  /** Records that a placement pass has tried a submission. */
  markTried(submission: Submission): void {
    this.untried.delete(submission);
  }

  /** Has the next pass that is ended early go on with a submission. */
  markUntried(submission: Submission): void {
    if (this.entries.has(submission)) {
      this.untried.add(submission);
    }
  }

  /**
   * Returns submissions for a pass that was ended early to go on with: those that have waited
   * longest since a pass tried them. Once every submission was tried, a new round begins.
   *
   * @param maxCount - Most submissions to return.
   */
  takeUntried(maxCount: number): Submission[] {
    if (this.untried.size === 0) {
      for (const submission of this.entries.keys()) {
        this.untried.add(submission);
      }
    }
    const taken: Submission[] = [];
    for (const submission of this.untried) {
      if (taken.length >= maxCount) {
        break;
      }
      this.untried.delete(submission);
      if (this.entries.get(submission) !== null && !this.awaitingLabel.has(submission)) {
        taken.push(submission);
      }
    }
    return taken;
  }

  /**
   * Recomputes the order keys and demands that may have changed.
   *
   * @param host - Capacity of a host of the pool.
   * @param fleet - The kinds of workers that exist in any pool.
   */
  refresh(turn: Turn, host: Resources, fleet: FleetKinds): void {
    if (this.host?.cpuMilli !== host.cpuMilli || this.host.memoryMb !== host.memoryMb) {
      this.host = host;
      this.markAllChanged();
    }
    if (this.labelsVersion !== this.workers.labelsVersion) {
      this.labelsVersion = this.workers.labelsVersion;
      this.awaitingLabel.forEach((submission) => this.stale.add(submission));
    }
    for (const submission of this.rankChanges.takeDue(turn.nowMs)) {
      this.stale.add(submission);
    }
    countSteps(turn, this.stale.size);
    for (const submission of this.stale) {
      if (submission.ready.size === 0) {
        this.remove(submission);
      } else {
        this.insert(turn, host, fleet, submission);
      }
    }
    this.stale.clear();
  }

  /** Returns the backlogs of the teams. */
  byTeam(): readonly TeamBacklog[] {
    return [...this.teams.values()];
  }

  private insert(turn: Turn, host: Resources, fleet: FleetKinds, submission: Submission): void {
    this.detach(submission);
    this.unplaceable.delete(submission);
    this.awaitingLabel.delete(submission);
    findObstacles(turn, fleet, submission);
    if (!hasPlaceableItems(submission)) {
      this.unplaceable.add(submission);
      this.rankChanges.delete(submission);
      return;
    }
    refreshRunTimes(turn, submission);
    const orderKey = orderKeyOf(turn, submission);
    const team = this.teamBacklog(submission.row.team);
    const demand = submissionDemand(submission, host, orderKey.rank);
    this.entries.set(submission, { team, orderKey, demand });
    if (hasItemsFor(submission, this.workers)) {
      team.heap.set(submission, orderKey);
    } else {
      this.awaitingLabel.add(submission);
    }
    if (demand.spreadWorkers > 0) {
      team.spreadWorkers.set(submission, demand.spreadWorkers);
    }
    if (orderKey.rank === RANK.EXPIRED) {
      team.expiredItems.set(submission, demand.largestItem);
    }
    addToSums(team, orderKey, demand, 1);
    team.submissionCount += 1;
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
    team.spreadWorkers.delete(submission);
    team.expiredItems.delete(submission);
    addToSums(team, orderKey, demand, -1);
    team.submissionCount -= 1;
    this.entries.set(submission, null);
    if (team.submissionCount === 0) {
      team.resetSums();
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
  { rank }: OrderKey,
  { hosts }: SubmissionDemand,
  sign: 1 | -1,
): void => {
  if (rank === RANK.EXPIRED) {
    team.expiredHosts += sign * hosts;
    return;
  }
  team.hosts += sign * hosts;
  team.onScheduleHosts += rank <= RANK.TIGHT ? sign * hosts : 0;
};

/** One placement pass over a backlog. Submissions that get no capacity keep their positions. */
export class BacklogPass {
  private readonly visited: {
    readonly team: TeamBacklog;
    readonly submission: Submission;
    readonly orderKey: OrderKey;
  }[] = [];
  private readonly teams: Set<TeamBacklog>;
  /** Whether submissions of a team were left out of the pass. */
  hasSkipped = false;

  constructor(private readonly backlog: Backlog) {
    this.teams = new Set(backlog.byTeam());
  }

  /** Returns the next submission in the order, or null at the end of the pass. */
  next(): Submission | null {
    let best: TeamBacklog | null = null;
    let bestKey: OrderKey | null = null;
    for (const team of this.teams) {
      const key = team.heap.firstKey();
      if (key !== null && (bestKey === null || precedes(key, bestKey))) {
        best = team;
        bestKey = key;
      }
    }
    const submission = best?.heap.first() ?? null;
    if (best === null || bestKey === null || submission === null) {
      return null;
    }
    best.heap.delete(submission);
    this.backlog.markTried(submission);
    this.visited.push({ team: best, submission, orderKey: bestKey });
    return submission;
  }

  /** Leaves the remaining submissions of the last one's team out of the pass. */
  skipTeam(): void {
    const last = this.visited.at(-1);
    if (last !== undefined) {
      this.teams.delete(last.team);
      this.hasSkipped = true;
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
