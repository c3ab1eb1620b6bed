/** Runs a daemon from its settings file and shuts it down cleanly on SIGTERM or SIGINT. */
import type { z } from 'zod';
import { readSettings } from '../config/daemon-settings.js';
import { formatProblem } from '../config/yaml-file.js';
import type { Result } from '../result.js';
import { createLogger, type Logger } from '../telemetry/logger.js';
import { textOption, usageError, type Options } from './command-line.js';
import { EXIT_CODE } from './exit-code.js';

/** A running daemon. */
export interface RunningDaemon {
  stop(): Promise<void>;
}

interface DaemonSettings {
  readonly name: string;
  readonly tokenFile: string;
  readonly logLevel: string;
}

/** Function that starts a daemon; the daemon calls `onFatal` to end the process if it can no longer operate safely. */
export type StartDaemon<T> = (
  settings: T,
  token: string,
  logger: Logger,
  onFatal: (error: unknown) => void,
) => Promise<Result<RunningDaemon, string>>;

/** Runs a daemon until a signal or a fatal error; returns an exit code if it cannot start. */
export async function runDaemon<T extends DaemonSettings>(
  kind: string,
  options: Options,
  schema: z.ZodType<T>,
  start: StartDaemon<T>,
): Promise<number> {
  const file = textOption(options, 'settings');
  if (file === null) return usageError(`aldertide ${kind}: --settings FILE is required`);
  const read = readSettings(file, schema);
  if (read.err) return usageError(read.val.map((problem) => formatProblem(problem)).join('\n'));
  const { settings, token } = read.val;
  const logger = createLogger(kind, settings.name, settings.logLevel);
  const stopped = stopSignal();
  const started = await start(settings, token, logger, stopped.stop);
  if (started.err) {
    logger.error('cannot start', { reason: started.val });
    return EXIT_CODE.refused;
  }
  const reason = await stopped.reason;
  logger.info('stopping', { reason: String(reason) });
  await started.val.stop();
  process.exit(reason instanceof Error ? EXIT_CODE.refused : EXIT_CODE.done);
}

function stopSignal(): { readonly reason: Promise<unknown>; readonly stop: (reason: unknown) => void } {
  let stop: (reason: unknown) => void = () => undefined;
  const reason = new Promise<unknown>((resolve) => {
    stop = resolve;
  });
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, stop);
  return { reason, stop };
}
