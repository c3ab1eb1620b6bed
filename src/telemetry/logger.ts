/** Structured logs on standard error, one JSON line per change of state. */
import winston from 'winston';

/** Logger of one daemon; `details` become fields of the line. */
export interface Logger {
  info(message: string, details?: object): unknown;
  warn(message: string, details?: object): unknown;
  error(message: string, details?: object): unknown;
}

/** Creates the logger of a daemon; every line has the fields `daemon` and `name`. */
export function createLogger(daemon: string, name: string, level: string): Logger {
  return winston.createLogger({
    level,
    defaultMeta: { daemon, name },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })],
  });
}
