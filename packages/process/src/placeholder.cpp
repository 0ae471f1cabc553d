namespace plantaindoor::process {
}
