/** Structured logs: one JSON line for each change of state, on standard error. */
import winston from 'winston';

/** A logger of one daemon. */
export type Logger = winston.Logger;

/** Makes the logger of a daemon; `daemon` and `name` are on every line. */
export function createLogger(daemon: string, name: string, level: string): Logger {
  return winston.createLogger({
    level,
    defaultMeta: { daemon, name },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })],
  });
}
