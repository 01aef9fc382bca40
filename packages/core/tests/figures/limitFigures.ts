import { printServed } from "./servedWhenCutOff.js";
import { printStranded } from "./strandedAfterCrash.js";
import { printSurge } from "./surgeWrites.js";

const FIGURES: Readonly<Record<string, () => void>> = {
  stranded: printStranded,
  served: printServed,
  surge: printSurge,
};

const wanted = process.argv.slice(2);
for (const [name, print] of Object.entries(FIGURES)) {
  if (wanted.length === 0 || wanted.includes(name)) {
    print();
  }
}
