/** Bundles the platform's program into one file, because modules that are loaded one by one cost descriptors and time. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/aldertide.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
});
