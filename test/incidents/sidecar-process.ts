/** A sidecar as a process of its own. Arguments: ports as JSON, port of the directory, service. Tells its memory when asked. */
import { startSidecar, type SidecarPorts } from '../fuzz/loopback-daemons.js';

const [, , ports = '{}', replica = '0', service = ''] = process.argv;

await startSidecar(JSON.parse(ports) as SidecarPorts, Number(replica), service);
process.on('message', () => process.send?.(process.memoryUsage().rss));
process.on('disconnect', () => process.exit(0));
process.send?.('listening');
