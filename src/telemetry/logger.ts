/** Structured logs: one JSON line for each change of state, on standard error. */
import winston from 'winston';

/** A logger of one daemon; `details` are fields of the line. */
export interface Logger {
  info(message: string, details?: object): unknown;
  warn(message: string, details?: object): unknown;
  error(message: string, details?: object): unknown;
}

/** Makes the logger of a daemon; `daemon` and `name` are on every line. */
export function createLogger(daemon: string, name: string, level: string): Logger {
  return winston.createLogger({
    level,
    defaultMeta: { daemon, name },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })],
  });
}
