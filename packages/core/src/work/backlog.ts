import type { TeamId } from "@heatherferry/common";
import { DueQueue, KeyedHeap } from "@heatherferry/coordination";
import { lookedAt } from "./effort.js";
import { goesBefore, RANK, standingOf, type Standing } from "./ranking.js";
import type { Submission } from "./state.js";
import type { Turn } from "./turn.js";
import { hostsToWant, type HostsWanted } from "./waitingWork.js";
import type { Resources } from "./types.js";

class StandingHeap extends KeyedHeap<Submission, Standing> {
  protected override isBefore(one: Standing, other: Standing): boolean {
    return goesBefore(one, other);
  }
}

class LargestFirst extends KeyedHeap<Submission, number> {
  protected override isBefore(one: number, other: number): boolean {
    return one > other;
  }
}

/** What waits of one team. */
export class TeamBacklog {
  readonly heap = new StandingHeap();
  /** Workers that a step with a bound a worker misses, the widest step first. */
  readonly spreads = new LargestFirst();
  /** Hosts for the largest item of work that is worth nothing any more. */
  readonly worthlessItems = new LargestFirst();
  hosts = 0;
  inTimeHosts = 0;
  worthlessHosts = 0;
  /** Those that have a place, also while a pass has them out. */
  members = 0;

  /** Ends what rounding has left of sums over nothing. */
  clearSums(): void {
    this.hosts = 0;
    this.inTimeHosts = 0;
    this.worthlessHosts = 0;
  }
}

interface BacklogPlace {
  readonly team: TeamBacklog;
  readonly standing: Standing;
  readonly wanted: HostsWanted;
}

/** The submissions that wait for room in a pool, in the order in which they get it. */
export class Backlog {
  private readonly members = new Map<Submission, BacklogPlace | null>();
  private readonly teams = new Map<TeamId | null, TeamBacklog>();
  /** Members whose place or wants may be others by now. */
  private readonly changes = new Set<Submission>();
  private readonly rankChanges = new DueQueue<Submission>();
  private host: Resources | null = null;

  get size(): number {
    return this.members.size;
  }

  add(submission: Submission): void {
    if (!this.members.has(submission)) {
      submission.backlog?.remove(submission);
      submission.backlog = this;
      this.members.set(submission, null);
    }
    this.changes.add(submission);
  }

  remove(submission: Submission): void {
    this.leave(submission);
    this.members.delete(submission);
    this.changes.delete(submission);
    this.rankChanges.delete(submission);
    submission.backlog = null;
  }

  /** Notes that other items of a member wait, or that it has begun. */
  changed(submission: Submission): void {
    this.changes.add(submission);
  }

  /** Notes that priorities may have changed. */
  allChanged(): void {
    for (const submission of this.members.keys()) {
      this.changes.add(submission);
    }
  }

  /**
   * Brings the order up to date.
   *
   * @param host - Room of a host of the pool.
   */
  refresh(turn: Turn, host: Resources): void {
    if (this.host?.cpuMilli !== host.cpuMilli || this.host.memoryMb !== host.memoryMb) {
      this.host = host;
      this.allChanged();
    }
    for (const submission of this.rankChanges.takeDue(turn.nowMs)) {
      this.changes.add(submission);
    }
    lookedAt(turn, this.changes.size);
    for (const submission of this.changes) {
      if (submission.ready.size === 0) {
        this.remove(submission);
      } else {
        this.place(turn, host, submission);
      }
    }
    this.changes.clear();
  }

  /** @returns What waits, by team. */
  byTeam(): readonly TeamBacklog[] {
    return [...this.teams.values()];
  }

  private place(turn: Turn, host: Resources, submission: Submission): void {
    this.leave(submission);
    const standing = standingOf(turn, submission);
    const team = this.teamBacklog(submission.handIn.team);
    const wanted = hostsToWant(submission, host, standing.rank);
    this.members.set(submission, { team, standing, wanted });
    team.heap.set(submission, standing);
    if (wanted.spread > 0) {
      team.spreads.set(submission, wanted.spread);
    }
    if (standing.rank === RANK.WORTHLESS) {
      team.worthlessItems.set(submission, wanted.largest);
    }
    count(team, standing, wanted, 1);
    team.members += 1;
    if (Number.isFinite(standing.changesAtMs)) {
      this.rankChanges.set(submission, standing.changesAtMs + 1);
    } else {
      this.rankChanges.delete(submission);
    }
  }

  private leave(submission: Submission): void {
    const place = this.members.get(submission) ?? null;
    if (place === null) {
      return;
    }
    const { team, standing, wanted } = place;
    team.heap.delete(submission);
    team.spreads.delete(submission);
    team.worthlessItems.delete(submission);
    count(team, standing, wanted, -1);
    team.members -= 1;
    this.members.set(submission, null);
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

const count = (
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

/** One pass over what waits; who gets no room in it keeps its place. */
export class BacklogPass {
  private readonly passed: {
    readonly team: TeamBacklog;
    readonly submission: Submission;
    readonly standing: Standing;
  }[] = [];
  private readonly teams: Set<TeamBacklog>;

  constructor(private readonly backlog: Backlog) {
    this.teams = new Set(backlog.byTeam());
  }

  /** @returns The next in the order, or null where nobody is left. */
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
    this.passed.push({ team: best, submission, standing: bestKey });
    return submission;
  }

  /** Passes over the rest of what the team of the last one has waiting. */
  skipTeam(): void {
    const last = this.passed.at(-1);
    if (last !== undefined) {
      this.teams.delete(last.team);
    }
  }

  /** Puts those back that were passed. */
  end(): void {
    for (const { team, submission, standing } of this.passed) {
      if (submission.backlog === this.backlog) {
        team.heap.set(submission, standing);
      }
    }
  }
}
