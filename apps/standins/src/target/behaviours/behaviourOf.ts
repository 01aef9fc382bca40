import type { TargetBehaviourName } from "../types.js";
import {
  FailingBehaviour,
  LateBehaviour,
  InvalidHttpBehaviour,
  NormalBehaviour,
  ResettingBehaviour,
  SilentBehaviour,
  SlowBehaviour,
  TruncatingBehaviour,
} from "./behaviours.js";
import type { TargetBehaviour } from "./targetBehaviour.js";

const BEHAVIOURS: Readonly<Record<TargetBehaviourName, TargetBehaviour>> = {
  normal: new NormalBehaviour(),
  failing: new FailingBehaviour(),
  slow: new SlowBehaviour(),
  silent: new SilentBehaviour(),
  truncating: new TruncatingBehaviour(),
  nonsense: new InvalidHttpBehaviour(),
  resetting: new ResettingBehaviour(),
  late: new LateBehaviour(),
};

/** Returns the behaviour with a name; behaviours are stateless, so all targets share them. */
export const behaviourOf = (name: TargetBehaviourName): TargetBehaviour => BEHAVIOURS[name];
