package main

func slowReader(w *world) bool { return false }
