/** Assembles a router process: table watch, HTTP listener, metrics and graceful shutdown. */
import 'reflect-metadata';
import type { Socket } from 'node:net';
import { Module } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { Histogram, type Registry } from 'prom-client';
import type { RouterSettings } from '../config/daemon-settings.js';
import { ControlWatch } from '../control-client/control-watch.js';
import { LeaderClient } from '../control-client/leader-client.js';
import { Err, Ok, type Result } from '../result.js';
import { nodeRuntime } from '../runtime/node-runtime.js';
import type { Logger } from '../telemetry/logger.js';
import { managementModule } from '../telemetry/management.js';
import { createRegistry, exposeFamily, exposeValue } from '../telemetry/metrics.js';
import { RequestRouter } from './request-router.js';
import { RouterState } from './router-state.js';

/** Upper bounds of the request time histogram, in ms. */
const REQUEST_TIME_BUCKETS_MS = [0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

@Module({})
class RouterModule {}

/** A running router. */
export class RouterNode {
  private constructor(
    private readonly application: NestFastifyApplication,
    private readonly state: RouterState,
    private readonly watch: ControlWatch,
    private readonly leaderClient: LeaderClient,
    private readonly logger: Logger,
  ) {}

  /** Connects to control and starts listening. */
  static async start(
    settings: RouterSettings,
    token: string,
    logger: Logger,
  ): Promise<Result<RouterNode, string>> {
    const registry = createRegistry();
    const requestTime = requestTimeHistogram(registry);
    const { name, zone, control } = settings;
    const identity = { role: 'router', name, zone, token } as const;
    const leaderClient: LeaderClient = new LeaderClient(nodeRuntime, identity, control, (notice) => {
      if (notice.kind === 'end-recorded' || notice.kind === 'run-permitted') state.guard.receive(notice);
    });
    const state = new RouterState(
      settings,
      (ms) => {
        requestTime.observe(ms);
      },
      {
        runtime: nodeRuntime,
        send: (request) => leaderClient.send(request),
        log: (event, fields) => {
          logger.warn(event, fields);
        },
      },
    );
    const watch = new ControlWatch(nodeRuntime, state.table, identity, control, null, () => {
      state.tableChanged();
    });
    exposeCounters(registry, state, watch);
    const application = await createApplication(settings, state, registry);
    try {
      await application.listen(settings.listen.port, settings.listen.host);
    } catch (error) {
      watch.stop();
      const { host, port } = settings.listen;
      return Err(
        `cannot listen on ${host}:${port}: ${error instanceof Error ? error.message : String(error)}`,
      );
    }
    logger.info('router listens', settings.listen);
    return Ok(new RouterNode(application, state, watch, leaderClient, logger));
  }

  /** Stops accepting connections, lets requests in flight finish for at most `drainMs`, then stops. */
  async stop(drainMs: number): Promise<void> {
    const server = this.application.getHttpServer();
    this.state.callers.stopListening(server);
    const unanswered = await this.state.callers.endAll(drainMs);
    if (unanswered > 0) this.logger.warn('requests were cut off', { count: unanswered });
    this.watch.stop();
    this.leaderClient.stop();
    await this.state.backends.close();
  }
}

async function createApplication(
  settings: RouterSettings,
  state: RouterState,
  registry: Registry,
): Promise<NestFastifyApplication> {
  const adapter = new FastifyAdapter({
    http: { maxHeaderSize: settings.maxHeaderBytes },
    clientErrorHandler: (error, socket) => {
      state.callers.rejectUnreadable(error, socket as Socket);
    },
    requestTimeout: 0,
    exposeHeadRoutes: false,
  });
  const notReady = (): string | null => (state.table.index === 0 ? 'no table from control yet' : null);
  const root = { module: RouterModule, imports: [managementModule({ registry, notReady })] };
  const application = await NestFactory.create<NestFastifyApplication>(root, adapter, {
    logger: false,
    bodyParser: false,
  });
  state.callers.attach(adapter.getInstance().server);
  registerCatchAllRoute(adapter, new RequestRouter(state));
  return application;
}

/** Registers the hot path as a plain Fastify route that bypasses Nest's pipeline and leaves the body unread. */
function registerCatchAllRoute(adapter: FastifyAdapter, router: RequestRouter): void {
  const fastify = adapter.getInstance();
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('*', (_request, _payload, done) => {
    done(null);
  });
  fastify.all('/*', (request: FastifyRequest, reply: FastifyReply) => {
    reply.hijack();
    void router.handle(request.raw, reply.raw);
  });
}

function requestTimeHistogram(registry: Registry): Histogram {
  return new Histogram({
    name: 'aldertide_request_ms',
    help: 'Time from the arrival of a request to the end of its answer, in ms',
    buckets: REQUEST_TIME_BUCKETS_MS,
    registers: [registry],
  });
}

function exposeCounters(registry: Registry, state: RouterState, watch: ControlWatch): void {
  const { counters, table } = state;
  exposeValue(registry, 'requests_started', 'Requests taken', () => counters.started);
  exposeValue(registry, 'request_retries', 'Attempts after the first', () => counters.retries);
  exposeValue(registry, 'requests_in_flight', 'Requests that have not ended', () => state.inFlight);
  exposeFamily(registry, 'requests_ended', 'Requests by their end', 'end', () => counters.ended);
  exposeValue(registry, 'crash_records', 'Requests under which back ends ended twice or more', () => {
    return table.quarantine.all.size;
  });
  exposeValue(registry, 'table_index', 'Index of the newest change in force', () => table.index);
  exposeValue(registry, 'configuration_revision', 'Configuration in force', () => table.revision);
  exposeValue(registry, 'control_bytes_received', 'Bytes from control', () => watch.traffic().bytesReceived);
  exposeValue(registry, 'control_bytes_sent', 'Bytes to control', () => watch.traffic().bytesSent);
}
