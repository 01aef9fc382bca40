import test from "ava";
import { EvacuationSite, LONG_RUNNING, ZONES } from "./evacuationSite.js";
import { stepOf, workOf } from "./workSpecs.js";

const DAY_MS = 20_000;
const FAULT_INTERVAL_MS = 900;

const anyOf = <Value>(site: EvacuationSite, values: readonly [Value, ...Value[]]): Value =>
  values[site.randomBelow(values.length)] ?? values[0];

/** Requests or removes the evacuation of a zone, or does both within a moment. */
const changeZone = (site: EvacuationSite): void => {
  const zone = anyOf(site, ZONES);
  const isRequested = site.randomChance(60);
  const change = (requested: boolean): void => {
    if (requested) {
      site.evacuate(zone);
    } else {
      site.takeBack(zone);
    }
  };
  change(isRequested);
  if (site.randomChance(30)) {
    site.schedule(site.randomBelow(30), () => {
      change(!isRequested);
    });
  }
};

/** Brings about one fault, drawn at random. */
const strike = (site: EvacuationSite): void => {
  const node = site.randomBelow(3);
  const forMs = 200 + site.randomBelow(2_500);
  const faults: readonly [() => void, ...(() => void)[]] = [
    () => {
      site.kill(node, forMs);
    },
    () => {
      site.freeze(node, forMs);
    },
    () => {
      site.storeDownUntilMs = site.nowMs + forMs;
    },
    () => {
      site.feedDownUntilMs.operators = site.nowMs + forMs;
    },
    () => {
      site.store.historyLostUpTo = site.store.version;
    },
    () => {
      site.stopGracefully(node);
    },
    () => {
      site.scanAnswerMs.operators = forMs / 4;
    },
  ];
  anyOf(site, faults)();
};

for (let seed = 1; seed <= 8; seed += 1) {
  test(`seed ${seed}: under changing requests and faults, work starts in an evacuated zone or stops for good`, (t) => {
    const site = new EvacuationSite(100 + seed, 3, 4, 2);
    site.run(2_000);
    const lasting = { ...stepOf(4, 600, []), lasting: true, maxUnavailable: 1 };
    site.submit(LONG_RUNNING, "mills", workOf([lasting]), 0);
    site.submitEvery(60, DAY_MS + 8_000);
    for (let atMs = 0; atMs < DAY_MS; atMs += FAULT_INTERVAL_MS) {
      site.schedule(atMs, () => {
        if (site.randomChance(50)) {
          changeZone(site);
        } else {
          strike(site);
        }
      });
    }
    site.run(DAY_MS);
    ZONES.forEach((zone) => {
      site.takeBack(zone);
    });
    site.run(5_000);
    const { starts } = site;
    site.run(3_000);
    t.true(site.starts > starts + 10);
  });
}
