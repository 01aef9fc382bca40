import { setTimeout as sleep } from "node:timers/promises";
import { EXIT_CODE, messageOf } from "@heatherferry/common";
import { HOST_PHASE } from "@heatherferry/core";
import { CallerLoad } from "../load/callerLoad.js";
import type { LoadReport } from "../load/types.js";
import { DEMO_FLEET, DEMO_SURGE, DEMO_TEAMS, DEMO_TIMES } from "./constants.js";
import { demoLoad } from "./demoLoad.js";
import { DemoSite } from "./demoSite.js";
import { formatGuarantees, formatRefusals, formatTeams, isMet } from "./formatEvaluation.js";
import { rulesText, secretOf } from "./rulesText.js";
import { countRefusals, checkGuarantees, evaluateTeams } from "./evaluation.js";
import { waitUntil } from "./waitUntil.js";

const TARGET_COUNT =
  DEMO_FLEET.ZONES.length * DEMO_FLEET.SERVICES.length * DEMO_FLEET.TARGETS_PER_SERVICE;

const startedAtMs = performance.now();

const print = (text: string): void => {
  const seconds = ((performance.now() - startedAtMs) / 1_000).toFixed(1).padStart(5);
  process.stdout.write(`${seconds} s  ${text}\n`);
};

const startSite = async (site: DemoSite): Promise<void> => {
  print(`starting the platform and ${TARGET_COUNT} targets in ${DEMO_FLEET.ZONES.length} zones`);
  await site.startPlatform();
  print("starting entry hosts and maintainers");
  await site.startDaemons();
  print("applying the rules");
  const rules = site.writeFile("demo.rules", rulesText());
  await site.runOperatorCommand("apply", rules, "--by", "demo", "--wait");
  await waitUntil("all targets to be in service", DEMO_TIMES.START_TIMEOUT_MS, async () => {
    const hosts = await site.readHosts();
    return hosts.filter(({ phase }) => phase === HOST_PHASE.IN_SERVICE).length === TARGET_COUNT;
  });
  const secret = secretOf(DEMO_TEAMS[0].team);
  await waitUntil("every entry host to serve every queue", DEMO_TIMES.START_TIMEOUT_MS, async () =>
    site.servesAllQueues(secret),
  );
  print("all targets are in service");
};

const isInPhase = async (site: DemoSite, phase: string): Promise<boolean> => {
  const hosts = await site.readHosts();
  return hosts.some((host) => host.hostId === DEMO_SURGE.DRAINED_HOST && host.phase === phase);
};

const drainAndReboot = async (site: DemoSite): Promise<void> => {
  const host = DEMO_SURGE.DRAINED_HOST;
  await sleep(DEMO_TIMES.DRAIN_AT_MS);
  print(`draining ${host}`);
  await site.runOperatorCommand("drain", host);
  await waitUntil(`${host} to be drained`, DEMO_TIMES.STEP_TIMEOUT_MS, async () =>
    isInPhase(site, HOST_PHASE.STOPPED),
  );
  print(`${host} is drained; rebooting it`);
  await site.reboot(host);
  await site.runOperatorCommand("undrain", host);
  await waitUntil(`${host} to return to service`, DEMO_TIMES.STEP_TIMEOUT_MS, async () =>
    isInPhase(site, HOST_PHASE.IN_SERVICE),
  );
  print(`${host} has returned to service`);
};

const formatProgress = ({ streams }: LoadReport): string => {
  const total = (key: "sent" | "answered" | "notRun" | "unknown"): number =>
    streams.reduce((sum, stream) => sum + stream[key], 0);
  return (
    `sent ${total("sent")}, answered ${total("answered")}, ` +
    `not run ${total("notRun")}, unknown ${total("unknown")}`
  );
};

const runLoad = async (site: DemoSite): Promise<LoadReport> => {
  const load = new CallerLoad(demoLoad(site.callerAddresses));
  const progress = setInterval(() => {
    print(formatProgress(load.report()));
  }, DEMO_TIMES.PROGRESS_INTERVAL_MS);
  try {
    print(`sending requests; the surge begins after ${DEMO_TIMES.SURGE_AT_MS / 1_000} s`);
    const [report] = await Promise.all([load.run(), drainAndReboot(site)]);
    return report;
  } finally {
    clearInterval(progress);
  }
};

const reportResults = async (site: DemoSite, report: LoadReport): Promise<number> => {
  const observations = {
    report,
    fleets: await site.fetchTotals(),
    shares: new Map(DEMO_TEAMS.map(({ team, share }) => [team as string, share])),
    fullQueue: DEMO_SURGE.SERVICE,
    fullFromMs: DEMO_TIMES.SURGE_AT_MS + DEMO_TIMES.QUEUE_FILL_MS,
    fullUntilMs: DEMO_TIMES.SURGE_AT_MS + DEMO_TIMES.SURGE_MS,
  };
  const guarantees = checkGuarantees(observations);
  print("all requests have ended");
  const teams = formatTeams(evaluateTeams(observations));
  const refusals = formatRefusals(countRefusals(report));
  process.stdout.write(`\n${teams}\n\n${refusals}\n\n${formatGuarantees(guarantees)}\n`);
  return guarantees.every(isMet) ? EXIT_CODE.OK : EXIT_CODE.FAILED;
};

const run = async (site: DemoSite): Promise<number> => {
  try {
    await startSite(site);
    const report = await runLoad(site);
    return await reportResults(site, report);
  } catch (error) {
    print(`failed: ${messageOf(error)}`);
    return EXIT_CODE.FAILED;
  } finally {
    await site.stop();
  }
};

const site = new DemoSite();
process.once("SIGINT", () => {
  void site.stop().then(() => process.exit(EXIT_CODE.FAILED));
});
process.exit(await run(site));
