/** Tests that run side by side. */
export default {
  files: [
    "packages/*/dist/tests/**/*.test.js",
    "apps/*/dist/tests/**/*.test.js",
    "platform/dist/tests/**/*.test.js",
    "bench/dist/tests/**/*.test.js",
    "!**/uncontrolledClients/**",
  ],
  timeout: "120s",
};
