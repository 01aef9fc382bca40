export * from "./assertNever.js";
export * from "./constants.js";
export * from "./errors.js";
export * from "./ids.js";
export * from "./logging/createLogger.js";
export * from "./settings/errors.js";
export * from "./settings/loadSettings.js";
export * from "./valueOf.js";
