/** Tests of clients that exceed the limits. They measure whole processes, so they run alone. */
export default {
  files: ["{apps/*,platform}/dist/tests/uncontrolledClients/*.test.js"],
  concurrency: 1,
  serial: true,
  timeout: "300s",
};
