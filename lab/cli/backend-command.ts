/** `aldertide-lab backend`: runs a stand-in until it is told to stop. */
import { z } from 'zod';
import { usageError, type Options } from '../../src/cli/command-line.js';
import { BackendServer, type BackendOptions } from '../backend/backend-server.js';

const optionsSchema = z.object({
  name: z.string(),
  service: z.string(),
  host: z.string(),
  port: z.number().int().min(1).max(65_535),
  slots: z.number().int().min(1),
  'work-ms': z.number().positive(),
  'cold-ms': z.number().min(0),
  'cold-factor': z.number().min(1),
  'repeat-horizon-ms': z.number().min(0),
  health: z.enum(['honest', 'lagging', 'misleading']),
  seed: z.number().int(),
  journal: z.string().optional(),
});

/** Runs a stand-in. */
export async function backendCommand(options: Options): Promise<number> {
  const parsed = optionsSchema.safeParse(options);
  if (!parsed.success) return usageError(`aldertide-lab backend: ${z.prettifyError(parsed.error)}`);
  const server = new BackendServer(toBackendOptions(parsed.data));
  await server.listen();
  await new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  await server.stop();
  return 0;
}

function toBackendOptions(given: z.infer<typeof optionsSchema>): BackendOptions {
  const { name, service, host, port, slots, health, seed } = given;
  return {
    name,
    service,
    host,
    port,
    slots,
    health,
    seed,
    workMs: given['work-ms'],
    coldMs: given['cold-ms'],
    coldFactor: given['cold-factor'],
    repeatHorizonMs: given['repeat-horizon-ms'],
    journal: given.journal ?? null,
  };
}
