export * from "./platform/constants.js";
export * from "./platform/errors.js";
export * from "./platform/hostDirectory.js";
export * from "./platform/httpPlatformTable.js";
export * from "./platform/platformTable.js";
export * from "./platform/types.js";
