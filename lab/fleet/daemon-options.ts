/** Options of Node for the platform's daemons, as in their deployment file. */
export const DAEMON_NODE_OPTIONS: readonly string[] = [
  '--max-old-space-size=160',
  '--max-semi-space-size=2',
  '--always-sparkplug',
  '--no-lazy-feedback-allocation',
  '--single-threaded',
];
