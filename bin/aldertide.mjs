#!/usr/bin/env node
import '../dist/src/cli/main.js';
